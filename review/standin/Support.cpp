#include "Support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

std::ofstream RecordFile; // NOLINT(cert-err58-cpp)
std::mutex RecordMutex;   // NOLINT(cert-err58-cpp)
const auto ProgramStart = std::chrono::steady_clock::now();

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C + ('a' - 'A')) : C;
}

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [](char X, char Y) { return toLower(X) == toLower(Y); });
}

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool bindTo(int Descriptor, const std::string &Ip, int Port) {
  int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = addressOf(Ip, Port);
  return bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
              sizeof Address) == 0;
}

bool waitFor(int Descriptor, short Events, long TimeoutMs) {
  pollfd Entry{Descriptor, Events, 0};
  return poll(&Entry, 1, static_cast<int>(TimeoutMs)) > 0;
}

} // namespace

void Record::open(const std::string &Path) {
  RecordFile.open(Path, std::ios::trunc);
}

void Record::line(const std::string &Text) {
  std::lock_guard Guard(RecordMutex);
  std::string Stamp = std::to_string(elapsedMs());
  Stamp.insert(0, 7 - std::min<std::size_t>(7, Stamp.size()), ' ');
  RecordFile << Stamp << " ms  " << Text << '\n' << std::flush;
  std::cout << Stamp << " ms  " << Text << '\n' << std::flush;
}

long elapsedMs() {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - ProgramStart)
          .count());
}

void sleepMs(long Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

Socket::Socket(Socket &&Other) noexcept : m_Descriptor(Other.m_Descriptor) {
  Other.m_Descriptor = -1;
}

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(m_Descriptor, Other.m_Descriptor);
  return *this;
}

void Socket::close() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
  m_Descriptor = -1;
}

void Socket::reset() {
  linger Option{1, 0};
  setsockopt(m_Descriptor, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
  close();
}

std::size_t Socket::send(std::string_view Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(m_Descriptor, Bytes.data() + Sent,
                           Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    Sent += static_cast<std::size_t>(Count);
  }
  return Sent;
}

std::string Socket::receive(std::size_t MaxBytes, long TimeoutMs) const {
  std::string Bytes(MaxBytes, '\0');
  if (!waitFor(m_Descriptor, POLLIN, TimeoutMs))
    return {};
  ssize_t Count = recv(m_Descriptor, Bytes.data(), Bytes.size(), 0);
  Bytes.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
  return Bytes;
}

Socket connectTo(const std::string &Ip, int Port, const std::string &OwnIp,
                 long TimeoutMs) {
  Socket Created(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!OwnIp.empty() && !bindTo(Created.descriptor(), OwnIp, 0))
    return {};
  int Flags = fcntl(Created.descriptor(), F_GETFL);
  fcntl(Created.descriptor(), F_SETFL, Flags | O_NONBLOCK);
  sockaddr_in Address = addressOf(Ip, Port);
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (connect(Created.descriptor(), reinterpret_cast<sockaddr *>(&Address),
              sizeof Address) != 0 &&
      (errno != EINPROGRESS ||
       !waitFor(Created.descriptor(), POLLOUT, TimeoutMs) ||
       getsockopt(Created.descriptor(), SOL_SOCKET, SO_ERROR, &Error, &Size) !=
           0 ||
       Error != 0))
    return {};
  fcntl(Created.descriptor(), F_SETFL, Flags);
  int On = 1;
  setsockopt(Created.descriptor(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Created;
}

Socket listenOn(const std::string &Ip, int Port) {
  constexpr int Backlog = 128;
  Socket Created(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!bindTo(Created.descriptor(), Ip, Port) ||
      listen(Created.descriptor(), Backlog) != 0)
    return {};
  return Created;
}

void acceptLoop(Socket Listener, std::function<void(Socket)> Serve) {
  std::thread([Held = std::move(Listener), Serve = std::move(Serve)] {
    for (;;) {
      int Accepted = accept4(Held.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      int On = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([Serve, Accepted] { Serve(Socket(Accepted)); }).detach();
    }
  }).detach();
}

bool portIsFree(const std::string &Ip, int Port) {
  Socket Tcp(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Socket Udp(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  return bindTo(Tcp.descriptor(), Ip, Port) &&
         bindTo(Udp.descriptor(), Ip, Port);
}

std::string Message::header(std::string_view Name) const {
  for (const auto &[Key, Value] : m_Headers)
    if (sameName(Key, Name))
      return Value;
  return {};
}

int Message::status() const {
  std::size_t Space = m_StartLine.find(' ');
  return Space == std::string::npos
             ? 0
             : static_cast<int>(
                   std::strtol(m_StartLine.c_str() + Space, nullptr, 10));
}

std::string Message::method() const {
  return m_StartLine.substr(0, m_StartLine.find(' '));
}

std::string Message::target() const {
  std::size_t First = m_StartLine.find(' ') + 1;
  return m_StartLine.substr(First, m_StartLine.find(' ', First) - First);
}

std::optional<Message> Reader::readHead(long TimeoutMs) {
  constexpr std::size_t ReadBytes = 16384;
  std::size_t End = 0;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos) {
    std::string More = m_From.receive(ReadBytes, TimeoutMs);
    if (More.empty())
      return std::nullopt;
    m_Buffer += More;
  }
  Message Read;
  std::string Head = m_Buffer.substr(0, End + 2);
  m_Buffer.erase(0, End + 4);
  std::size_t Line = Head.find("\r\n");
  Read.m_StartLine = Head.substr(0, Line);
  for (std::size_t At = Line + 2; At < Head.size();) {
    std::size_t Next = Head.find("\r\n", At);
    std::string Field = Head.substr(At, Next - At);
    std::size_t Colon = Field.find(':');
    std::size_t Value = Field.find_first_not_of(' ', Colon + 1);
    Read.m_Headers.emplace_back(
        Field.substr(0, Colon),
        Value == std::string::npos ? "" : Field.substr(Value));
    At = Next + 2;
  }
  return Read;
}

std::string Reader::readSome(std::size_t MaxBytes, long TimeoutMs) {
  if (m_Buffer.empty())
    return m_From.receive(MaxBytes, TimeoutMs);
  std::string Bytes = m_Buffer.substr(0, MaxBytes);
  m_Buffer.erase(0, Bytes.size());
  return Bytes;
}

bool Reader::readBody(Message &Into, long TimeoutMs) {
  constexpr std::size_t ReadBytes = 65536;
  auto ReadUpTo = [&](std::size_t Length) {
    while (Into.m_Body.size() < Length) {
      std::string More =
          readSome(std::min(ReadBytes, Length - Into.m_Body.size()), TimeoutMs);
      if (More.empty())
        return false;
      Into.m_Body += More;
    }
    return true;
  };
  if (!sameName(Into.header("Transfer-Encoding"), "chunked")) {
    std::string Length = Into.header("Content-Length");
    return ReadUpTo(Length.empty() ? 0
                                   : std::strtoul(Length.c_str(), nullptr, 10));
  }
  auto ReadLine = [&]() -> std::optional<std::string> {
    std::string Line;
    while (!Line.ends_with("\r\n")) {
      std::string Byte = readSome(1, TimeoutMs);
      if (Byte.empty())
        return std::nullopt;
      Line += Byte;
    }
    return Line.substr(0, Line.size() - 2);
  };
  for (;;) {
    std::optional<std::string> Size = ReadLine();
    if (!Size)
      return false;
    std::size_t Length = std::strtoul(Size->c_str(), nullptr, 16);
    if (!ReadUpTo(Into.m_Body.size() + Length) || !ReadLine())
      return false;
    if (Length == 0)
      return true;
  }
}

std::optional<Message> Reader::readMessage(long TimeoutMs) {
  std::optional<Message> Read = readHead(TimeoutMs);
  if (Read && !readBody(*Read, TimeoutMs))
    return std::nullopt;
  return Read;
}

std::string responseText(int Status, const std::string &Reason,
                         const Headers &Fields, const std::string &Body) {
  std::string Text =
      "HTTP/1.1 " + std::to_string(Status) + " " + Reason + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Pair = Target.substr(At + 1, End - At - 1);
    if (Pair.starts_with(Name + "="))
      return Pair.substr(Name.size() + 1);
    At = End;
  }
  return {};
}

std::string encodeBase64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t I = 0; I < 3; ++I)
      Group = Group << 8U |
              (I < Count ? static_cast<unsigned char>(Bytes[At + I]) : 0U);
    for (std::size_t I = 0; I < 4; ++I)
      Text += I <= Count ? Digits[Group >> (18 - 6 * I) & 63U] : '=';
  }
  return Text;
}

Process::Process(std::string Program, std::vector<std::string> Arguments,
                 std::vector<std::string> Environment, std::string LogFile)
    : m_Program(std::move(Program)), m_Arguments(std::move(Arguments)),
      m_Environment(std::move(Environment)), m_LogFile(std::move(LogFile)) {}

Process::~Process() {
  if (m_Id == 0 || ended())
    return;
  kill(m_Id, SIGKILL);
  waitpid(m_Id, nullptr, 0);
}

void Process::start() {
  std::vector<char *> Arguments{m_Program.data()};
  for (std::string &Word : m_Arguments)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  std::vector<char *> Variables;
  for (std::string &Word : m_Environment)
    Variables.push_back(Word.data());
  Variables.push_back(nullptr);
  int Log =
      open(m_LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  m_Id = fork();
  if (m_Id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execve(m_Program.c_str(), Arguments.data(), Variables.data());
    _exit(127);
  }
  close(Log);
}

void Process::signal(int Number) const {
  if (m_Id > 0)
    kill(m_Id, Number);
}

std::optional<int> Process::ended() {
  int Status = 0;
  if (m_Id == 0 || waitpid(m_Id, &Status, WNOHANG) != m_Id)
    return std::nullopt;
  m_Id = 0;
  return Status;
}

} // namespace review
