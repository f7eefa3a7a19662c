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

#include <stdexcept>
#include <type_traits>

namespace rhubarb::net {

namespace beast = boost::beast;
namespace http = beast::http;

inline constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Maximum number of bytes per read of a body.
inline constexpr std::size_t BodyReadBytes = 16U << 10U;
// Limit on received bytes that the parser cannot consume yet, such as an
// endless chunk extension. Beyond it the connection is closed.
inline constexpr std::size_t MaxUnparsedBytes = 32U << 10U;

// Size of a read buffer that is taken without regard to the budget. An accepted
// connection can always read so much.
inline constexpr std::size_t ReadAheadBytes = 4096;
// Maximum number of bytes per read of a streamed body while the budget is full.
inline constexpr std::size_t SmallReadBytes = 1024;

// Divisor of a budget's limit where connections are counted: while less than
// this part is left, connections are refused and bodies are read in small
// pieces.
inline constexpr std::size_t BudgetKeepDivisor = 4;

// Allocates read buffers and counts them against a budget, if there is one.
template <class T> class CountingAllocator {
public:
  using value_type = T;
  using propagate_on_container_move_assignment = std::true_type;
  CountingAllocator() = default;
  // A KeepFree of none counts, but never refuses.
  CountingAllocator(BufferBudgetPtr Budget, std::optional<std::size_t> KeepFree)
      : m_Budget(std::move(Budget)), m_KeepFree(KeepFree) {}
  template <class Other>
  CountingAllocator(const CountingAllocator<Other> &From)
      : m_Budget(From.m_Budget), m_KeepFree(From.m_KeepFree) {}
  // Throws std::length_error if the budget is full, which Beast's reads report
  // as http::error::buffer_overflow.
  T *allocate(std::size_t Count) {
    std::size_t Bytes = Count * sizeof(T);
    if (m_Budget && m_KeepFree && Bytes > ReadAheadBytes) {
      if (!m_Budget->tryAdd(Bytes, *m_KeepFree))
        throw std::length_error("buffers full");
    } else if (m_Budget) {
      m_Budget->add(Bytes);
    }
    return std::allocator<T>().allocate(Count);
  }
  void deallocate(T *Pointer, std::size_t Count) {
    if (m_Budget)
      m_Budget->remove(Count * sizeof(T));
    std::allocator<T>().deallocate(Pointer, Count);
  }
  friend bool operator==(const CountingAllocator &Left,
                         const CountingAllocator &Right) {
    return Left.m_Budget == Right.m_Budget;
  }
  friend bool operator!=(const CountingAllocator &Left,
                         const CountingAllocator &Right) {
    return !(Left == Right);
  }

private:
  template <class Other> friend class CountingAllocator;
  BufferBudgetPtr m_Budget; // May be null.
  std::optional<std::size_t> m_KeepFree;
};
using ReadBuffer = beast::basic_flat_buffer<CountingAllocator<char>>;

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
template <bool IsRequest, class Buffer>
asio::awaitable<boost::system::error_code>
readBodyFragment(beast::tcp_stream &Stream, Buffer &Unparsed,
                 http::parser<IsRequest, http::buffer_body> &Parser,
                 std::string &Into, std::size_t MaxBytes = BodyReadBytes) {
  std::size_t Before = Into.size();
  if (auto Left = Parser.content_length_remaining(); Left && *Left > 0)
    MaxBytes =
        static_cast<std::size_t>(std::min<std::uint64_t>(MaxBytes, *Left));
  Into.resize(Before + MaxBytes);
  auto &Body = Parser.get().body();
  Body.data = Into.data() + Before;
  Body.size = MaxBytes;
  auto [Error, Bytes] =
      co_await http::async_read_some(Stream, Unparsed, Parser, Await);
  Into.resize(Before + MaxBytes - Body.size);
  Body.data = nullptr;
  Body.size = 0;
  if (Error == http::error::need_buffer)
    Error = {};
  co_return Error;
}

// Reads a fragment of a streamed body. If the budget is not null, it counts the
// fragment before it is read; while the budget is full, reads are small.
template <bool IsRequest>
asio::awaitable<boost::system::error_code>
readCountedFragment(beast::tcp_stream &Stream, ReadBuffer &Buffer,
                    http::parser<IsRequest, http::buffer_body> &Parser,
                    BodyFragment &Into, BufferBudgetPtr Budget,
                    std::size_t KeepFree) {
  std::size_t MaxBytes = BodyReadBytes;
  if (Budget) {
    Into.m_Buffered = std::make_shared<BufferedBytes>(Budget, KeepFree);
    if (!Into.m_Buffered->reserve(MaxBytes)) {
      MaxBytes = SmallReadBytes;
      Into.m_Buffered->set(MaxBytes);
    }
  }
  auto Error =
      co_await readBodyFragment(Stream, Buffer, Parser, Into.m_Bytes, MaxBytes);
  if (Budget)
    Into.m_Buffered->set(Into.m_Bytes.capacity());
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
