// Splits the bytes that a caller has received into responses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::test {

// One response as it was received.
struct RawResponse {
  std::string_view m_Head; // Without the empty line at its end.
  std::string_view m_Body;
  bool m_IsWhole = false; // The body has the length that the head names.
};

// Splits a text by the lengths that its responses name. The last response may
// be incomplete; behind one without a length nothing is split.
inline std::vector<RawResponse> splitResponses(std::string_view Rest) {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  constexpr std::string_view LengthField = "\r\nContent-Length: ";
  std::vector<RawResponse> Responses;
  while (!Rest.empty()) {
    RawResponse &Next = Responses.emplace_back();
    std::size_t HeadBytes = Rest.find(HeadEnd);
    Next.m_Head = Rest.substr(0, HeadBytes);
    std::size_t LengthAt = Next.m_Head.find(LengthField);
    if (HeadBytes == std::string_view::npos ||
        LengthAt == std::string_view::npos)
      break;
    std::size_t BodyBytes = std::stoul(
        std::string(Next.m_Head.substr(LengthAt + LengthField.size())));
    Rest.remove_prefix(HeadBytes + HeadEnd.size());
    Next.m_Body = Rest.substr(0, BodyBytes);
    Next.m_IsWhole = Next.m_Body.size() == BodyBytes;
    Rest.remove_prefix(Next.m_Body.size());
  }
  return Responses;
}

} // namespace rhubarb::test
