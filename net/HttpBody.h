// Header and body I/O shared by the HTTP server and client.
#pragma once

#include "net/Http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>

namespace rhubarb::net {

namespace beast = boost::beast;
namespace http = beast::http;

inline constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Maximum number of bytes per read of a body.
inline constexpr std::size_t BodyReadBytes = 16U << 10U;
// Limit on received bytes that the parser cannot consume yet, such as an
// endless chunk extension. Beyond it the connection is closed.
inline constexpr std::size_t MaxUnparsedBytes = 32U << 10U;

// Returns the header fields of a message in order.
template <class Fields>
std::vector<HeaderField> copyHeaders(const Fields &From) {
  std::vector<HeaderField> Copied;
  for (const auto &Field : From)
    Copied.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Copied;
}

// Returns the start line and header of a message in wire format.
template <bool IsRequest>
std::string serializeHead(http::message<IsRequest, http::empty_body> &Message) {
  http::serializer<IsRequest, http::empty_body> Writer(Message);
  std::string Text;
  boost::system::error_code Error;
  while (!Writer.is_done() && !Error) {
    std::size_t Used = 0;
    Writer.next(Error, [&](boost::system::error_code &, const auto &Buffers) {
      for (auto Buffer : beast::buffers_range_ref(Buffers)) {
        Text.append(static_cast<const char *>(Buffer.data()), Buffer.size());
        Used += Buffer.size();
      }
    });
    Writer.consume(Used);
    if (Writer.is_header_done())
      break;
  }
  return Text;
}

// Returns the capacity that a body has after one more read. It doubles like
// that of any string that grows.
inline std::size_t capacityForRead(const std::string &Body) {
  std::size_t Needed = Body.size() + BodyReadBytes;
  return Needed <= Body.capacity() ? Body.capacity()
                                   : std::max(Needed, 2 * Body.capacity());
}

// Reads until at least one more body byte arrives or the body ends, and appends
// the bytes to Into.
template <bool IsRequest>
asio::awaitable<boost::system::error_code>
readBodyFragment(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                 http::parser<IsRequest, http::buffer_body> &Parser,
                 std::string &Into) {
  std::size_t Before = Into.size();
  std::size_t MaxBytes = BodyReadBytes;
  if (auto Left = Parser.content_length_remaining(); Left && *Left > 0)
    MaxBytes =
        static_cast<std::size_t>(std::min<std::uint64_t>(MaxBytes, *Left));
  Into.resize(Before + MaxBytes);
  auto &Body = Parser.get().body();
  Body.data = Into.data() + Before;
  Body.size = MaxBytes;
  auto [Error, Bytes] =
      co_await http::async_read_some(Stream, Buffer, Parser, Await);
  Into.resize(Before + MaxBytes - Body.size);
  Body.data = nullptr;
  Body.size = 0;
  if (Error == http::error::need_buffer)
    Error = {};
  co_return Error;
}

// Writes what the socket accepts without blocking and returns the number of
// bytes.
std::size_t writeWithoutBlocking(asio::ip::tcp::socket &Socket,
                                 std::string_view Text,
                                 boost::system::error_code &Error);

// Writes a body fragment, with or without chunked transfer coding.
asio::awaitable<boost::system::error_code>
writeBodyFragment(beast::tcp_stream &Stream, const BodyFragment &Fragment,
                  bool Chunked);

} // namespace rhubarb::net
