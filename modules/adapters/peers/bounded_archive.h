#ifndef DOGWOODFALL_MODULES_ADAPTERS_PEERS_BOUNDED_ARCHIVE_H_
#define DOGWOODFALL_MODULES_ADAPTERS_PEERS_BOUNDED_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dogwoodfall {

/** Cereal archive that appends fixed-size little-endian values to a string.
 *
 * Numbers are copied in the byte order of the host, so the host must be
 * little-endian.
 */
class BoundedOutputArchive
    : public cereal::OutputArchive<BoundedOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  /** @param target receives the bytes; must outlive the archive */
  explicit BoundedOutputArchive(std::string& target)
      : cereal::OutputArchive<BoundedOutputArchive,
                              cereal::AllowEmptyClassElision>(this),
        target(target) {}

  /** Appends bytes. */
  void Write(const void* data, size_t size) {
    this->target.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& target;
};

/** Cereal archive that reads what BoundedOutputArchive wrote.
 *
 * Throws cereal::Exception when the input is truncated or invalid. Memory is
 * only allocated in proportion to the input, whatever sizes the input claims.
 */
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /** @param source must outlive the archive */
  explicit BoundedInputArchive(std::string_view source)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        remaining(source) {}

  /** Reads and removes bytes from the front of the input. */
  void Read(void* data, size_t size) {
    if (size > this->remaining.size())
      throw cereal::Exception("truncated input");
    std::memcpy(data, this->remaining.data(), size);
    this->remaining.remove_prefix(size);
  }

  /** Number of bytes not read yet. */
  size_t BytesLeft() const { return this->remaining.size(); }

 private:
  std::string_view remaining;
};

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_SAVE_FUNCTION_NAME(
    BoundedOutputArchive& archive,
    const Number& number) {
  archive.Write(&number, sizeof(number));
}

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive,
    Number& number) {
  archive.Read(&number, sizeof(number));
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive& archive,
                               const cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

/** Rejects boolean bytes other than 0 and 1. */
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                      bool& value) {
  uint8_t byte = 0;
  archive.Read(&byte, sizeof(byte));
  if (byte > 1)
    throw cereal::Exception("invalid boolean");
  value = byte == 1;
}

inline void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive& archive,
                                      const std::string& text) {
  archive(static_cast<uint32_t>(text.size()));
  archive.Write(text.data(), text.size());
}

inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                      std::string& text) {
  uint32_t size = 0;
  archive(size);
  if (size > archive.BytesLeft())
    throw cereal::Exception("string length exceeds the input");
  text.resize(size);
  archive.Read(text.data(), size);
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive& archive,
                               const std::vector<Element>& list) {
  archive(static_cast<uint32_t>(list.size()));
  for (const Element& element : list)
    archive(element);
}

/** Does not reserve memory for the claimed size: the list grows only with the
 * elements that are present in the input.
 */
template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               std::vector<Element>& list) {
  uint32_t size = 0;
  archive(size);
  list.clear();
  for (uint32_t i = 0; i < size; ++i) {
    Element element;
    archive(element);
    list.push_back(std::move(element));
  }
}

}  // namespace dogwoodfall

CEREAL_REGISTER_ARCHIVE(dogwoodfall::BoundedOutputArchive)
CEREAL_REGISTER_ARCHIVE(dogwoodfall::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(dogwoodfall::BoundedInputArchive,
                            dogwoodfall::BoundedOutputArchive)

#endif  // DOGWOODFALL_MODULES_ADAPTERS_PEERS_BOUNDED_ARCHIVE_H_
