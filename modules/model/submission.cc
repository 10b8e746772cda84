#include "model/submission.h"

#include <string>

#include "base/hash.h"

namespace dogwoodfall {
namespace {

/** Appends a field with its length, so that different adjacent fields can't
 * yield the same text.
 */
void AppendField(std::string& text, const std::string& field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

uint64_t FingerprintOf(const Submission& submission) {
  std::string text;
  AppendField(text, submission.customer.value);
  text += submission.single_request ? 's' : 'j';
  for (const TaskSpec& task : submission.tasks) {
    AppendField(text, task.id.value);
    AppendField(text, task.kind);
    AppendField(text, task.payload);
    text += task.idempotent ? 'i' : 'n';
  }
  return StableHash(text);
}

}  // namespace dogwoodfall
