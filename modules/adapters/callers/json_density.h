#ifndef DOGWOODFALL_MODULES_ADAPTERS_CALLERS_JSON_DENSITY_H_
#define DOGWOODFALL_MODULES_ADAPTERS_CALLERS_JSON_DENSITY_H_

#include <string>

namespace dogwoodfall {

/** Returns true when the parsed form of a large JSON text would take many times
 * the text's size, since it has very many values for its size.
 *
 * A parsed value takes up to 100 bytes, however short its text is. Texts of up
 * to 64 kB are not checked, as their parsed forms are small enough.
 */
bool IsTooDense(const std::string& json);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_CALLERS_JSON_DENSITY_H_
