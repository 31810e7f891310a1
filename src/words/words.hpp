// Plain fields written to and read from a list of 64-bit words, by one list of fields for both ways. Numbers
// keep their bits; nothing is told of types, so that only the same build reads what it has written. A reader
// checks what it is given: a list that ends early, a count beyond its bound or a number that is not finite
// makes it not `good`, and from there on all fields read as 0. Cost: a word a field.
#pragma once

#include <bit>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace burlwind::words {

using Words = std::vector<std::uint64_t>;

struct Writer {
  Words& out;
  void operator()(double& field) { out.push_back(std::bit_cast<std::uint64_t>(field)); }
  void operator()(float& field) { out.push_back(std::bit_cast<std::uint32_t>(field)); }
  template <class Field>
  void operator()(Field& field) {
    out.push_back(static_cast<std::uint64_t>(field));
  }
  // Of numbers that are mostly `usual`, the others with their places: a word each, and one for how many.
  template <class Numbers>
  void sparse(Numbers& numbers, float usual) {
    const std::size_t count = out.size();
    out.push_back(0);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
      if (numbers[i] == usual) continue;
      out.push_back(std::uint64_t{i} << 32 | std::bit_cast<std::uint32_t>(numbers[i]));
      ++out[count];
    }
  }
  // A list's length, then each of its entries. The bound is the reader's.
  template <class List, class Each>
  void list(List& entries, std::size_t, Each each) {
    out.push_back(entries.size());
    for (auto& entry : entries) each(entry);
  }
};

struct Reader {
  const Words& in;
  std::size_t at = 0;
  bool good = true;

  bool whole() const { return good && at == in.size(); }
  void operator()(double& field) { field = finite(std::bit_cast<double>(next())); }
  void operator()(float& field) { field = finite(std::bit_cast<float>(static_cast<std::uint32_t>(next()))); }
  template <class Field>
  void operator()(Field& field) {
    field = static_cast<Field>(next());
  }
  template <class Numbers>
  void sparse(Numbers& numbers, float usual) {
    numbers.fill(usual);
    std::uint64_t n = next();
    for (good = good && n <= numbers.size(); good && n > 0; --n) {
      const std::uint64_t word = next();
      good = good && word >> 32 < numbers.size();
      if (good) numbers[word >> 32] = finite(std::bit_cast<float>(static_cast<std::uint32_t>(word)));
    }
  }
  // Appends what was written, up to `most` entries.
  template <class List, class Each>
  void list(List& entries, std::size_t most, Each each) {
    std::uint64_t n = next();
    for (good = good && n <= most; good && n > 0; --n) {
      entries.emplace_back();
      each(entries.back());
    }
  }

 private:
  std::uint64_t next() {
    good = good && at < in.size();
    return good ? in[at++] : 0;
  }
  template <class Number>
  Number finite(Number number) {
    good = good && std::isfinite(number);
    return good ? number : 0;
  }
};

}  // namespace burlwind::words
