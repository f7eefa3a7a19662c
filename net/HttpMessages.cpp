#include "net/Http.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <json/json.h>

namespace rhubarb::net {
namespace {

bool equalIgnoringCase(std::string_view A, std::string_view B) {
  auto Lower = [](char C) { return C >= 'A' && C <= 'Z' ? char(C + 32) : C; };
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [&](char X, char Y) { return Lower(X) == Lower(Y); });
}

} // namespace

std::string_view findHeader(const std::vector<HeaderField> &Fields,
                            std::string_view Name) {
  for (const HeaderField &Field : Fields)
    if (equalIgnoringCase(Field.m_Name, Name))
      return Field.m_Value;
  return {};
}

bool BufferBudget::tryAdd(std::size_t Bytes, std::size_t KeepFree) {
  std::size_t Left = leftBytes();
  if (Bytes > Left || Left - Bytes < KeepFree)
    return false;
  m_UsedBytes += Bytes;
  return true;
}

void BufferedBytes::set(std::size_t Bytes) {
  if (m_Budget)
    m_Budget->add(Bytes - m_Bytes);
  m_Bytes = Bytes;
}

bool BufferedBytes::reserve(std::size_t Bytes) {
  if (m_Budget && Bytes > m_Bytes) {
    bool Fits = m_Budget->tryAdd(Bytes - m_Bytes, m_KeepFree);
    m_Bytes = Fits ? Bytes : m_Bytes;
    return Fits;
  }
  set(Bytes);
  return true;
}

BodyReader::BodyReader(BodyStreamPtr Stream) : m_Stream(std::move(Stream)) {
  ++m_Stream->m_Readers;
}

BodyReader::~BodyReader() {
  if (m_Stream && --m_Stream->m_Readers == 0 && m_Stream->m_OnUnread)
    m_Stream->m_OnUnread();
}

asio::awaitable<BodyFragment> BodyReader::readNext() {
  m_Stream->m_ReadOutstanding = true;
  BodyFragment Fragment = co_await m_Stream->m_ReadNext();
  m_Stream->m_ReadOutstanding = false;
  ++m_Stream->m_FragmentsRead;
  co_return Fragment;
}

std::string_view HttpRequest::header(std::string_view Name) const {
  return findHeader(m_Headers, Name);
}

std::string_view HttpResponse::header(std::string_view Name) const {
  return findHeader(m_Headers, Name);
}

std::string_view HttpRequest::path() const {
  return std::string_view(m_Target).substr(0, m_Target.find('?'));
}

std::string_view HttpRequest::query(std::string_view Name) const {
  std::string_view Rest = m_Target;
  std::size_t Separator = Rest.find('?');
  while (Separator != std::string_view::npos) {
    Rest.remove_prefix(Separator + 1);
    Separator = Rest.find('&');
    std::string_view Pair = Rest.substr(0, Separator);
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
  }
  return {};
}

HttpResponse jsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpResponse errorResponse(ErrorKind Kind, const std::string &Detail,
                           Duration RetryAfter) {
  ResponsePtr Built = makeErrorResponse(Kind, Detail, RetryAfter);
  const ErrorInfo &Row = errorInfo(Kind);
  Json::Value Body;
  Body["error"] = std::string(Row.m_Name);
  Body["outcome"] = std::string(outcomeName(Row.m_Outcome));
  Body["detail"] = Built->m_Detail;
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  HttpResponse Response =
      jsonResponse(Built->m_Status, Json::writeString(Builder, Body) + "\n");
  Response.m_Headers.push_back(
      {"Rhubarb-Outcome", std::string(outcomeName(Row.m_Outcome))});
  Response.m_Headers.push_back({"Rhubarb-Reason", std::string(Row.m_Name)});
  if (Built->m_RetryAfter.count() > 0) {
    std::int64_t Millis = Built->m_RetryAfter / std::chrono::milliseconds(1);
    Response.m_Headers.push_back(
        {"Retry-After", std::to_string((Millis + 999) / 1000)});
    Response.m_Headers.push_back(
        {"Rhubarb-Retry-After-Ms", std::to_string(Millis)});
  }
  return Response;
}

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  boost::system::error_code Error;
  auto Ip = asio::ip::make_address_v4(Address.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  if (!Error && Colon != std::string::npos) {
    const char *End = Address.data() + Address.size();
    auto [Stop, PortError] =
        std::from_chars(Address.data() + Colon + 1, End, Port);
    if (PortError == std::errc() && Stop == End && Port != 0)
      return asio::ip::tcp::endpoint(Ip, Port);
  }
  return rhubarb::Error{ErrorKind::BadRequest,
                        "'" + Address + "' is not IPv4:port"};
}

} // namespace rhubarb::net
