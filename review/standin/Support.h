// Sockets, HTTP messages, processes and the record of a review case. Only the
// C++ and POSIX libraries are used.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Writes timestamped lines to record.txt.
class Record {
public:
  static void open(const std::string &Path);
  static void line(const std::string &Text);
};

// Milliseconds since the start of this program.
long elapsedMs();
void sleepMs(long Millis);

// Owns a socket.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Descriptor) : m_Descriptor(Descriptor) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket() { close(); }

  explicit operator bool() const { return m_Descriptor >= 0; }
  int descriptor() const { return m_Descriptor; }
  void close();
  // Closes with a reset.
  void reset();
  // Sends all bytes. Returns the number of bytes that the kernel has taken.
  std::size_t send(std::string_view Bytes) const;
  // Returns the bytes read; empty at the end, after an error or a time-out.
  std::string receive(std::size_t MaxBytes, long TimeoutMs) const;

private:
  int m_Descriptor = -1;
};

// Connects to an address, bound to an own address if that is not empty.
Socket connectTo(const std::string &Ip, int Port, const std::string &OwnIp,
                 long TimeoutMs = 1000);
Socket listenOn(const std::string &Ip, int Port);
// Accepts connections until the process ends, each in a thread of its own.
void acceptLoop(Socket Listener, std::function<void(Socket)> Serve);
// Returns a TCP port that is free on all loopback addresses used.
bool portIsFree(const std::string &Ip, int Port);

// A request or response with the header that was read.
struct Message {
  std::string m_StartLine;
  Headers m_Headers;
  std::string m_Body;
  std::string header(std::string_view Name) const;
  int status() const;
  std::string method() const;
  std::string target() const;
};

// Reads messages from a connection.
class Reader {
public:
  explicit Reader(const Socket &From) : m_From(From) {}
  // Reads the start line and header fields; none at the end of the connection.
  std::optional<Message> readHead(long TimeoutMs);
  // Reads up to MaxBytes that follow; empty at the end.
  std::string readSome(std::size_t MaxBytes, long TimeoutMs);
  // Reads the body that Content-Length or chunked coding announce. Returns
  // whether it is complete.
  bool readBody(Message &Into, long TimeoutMs);
  // Reads a whole message.
  std::optional<Message> readMessage(long TimeoutMs);

private:
  const Socket &m_From;
  std::string m_Buffer;
};

std::string responseText(int Status, const std::string &Reason,
                         const Headers &Fields, const std::string &Body);
std::string queryValue(const std::string &Target, const std::string &Name);
std::string encodeBase64(const std::string &Bytes);

// A process of the project.
class Process {
public:
  Process(std::string Program, std::vector<std::string> Arguments,
          std::vector<std::string> Environment, std::string LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void start();
  void signal(int Number) const;
  // Returns the wait status if the process has ended.
  std::optional<int> ended();
  pid_t id() const { return m_Id; }

private:
  std::string m_Program;
  std::vector<std::string> m_Arguments;
  std::vector<std::string> m_Environment;
  std::string m_LogFile;
  pid_t m_Id = 0;
};

} // namespace review
