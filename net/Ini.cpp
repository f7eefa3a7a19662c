#include "net/Ini.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <sstream>

namespace rhubarb::net {

Result<ConfigSections> parseIni(const std::string &Text) {
  namespace tree = boost::property_tree;
  tree::ptree Root;
  std::istringstream Stream(Text);
  try {
    tree::read_ini(Stream, Root);
  } catch (const tree::ini_parser_error &Error) {
    return rhubarb::Error{ErrorKind::BadRequest,
                          "line " + std::to_string(Error.line()) + ": " +
                              Error.message()};
  }
  ConfigSections Sections;
  for (const auto &[Name, Section] : Root) {
    if (Section.empty() && !Section.data().empty())
      return Error{ErrorKind::BadRequest,
                   "key " + Name + " is outside of any section"};
    SectionValues &Values = Sections[Name];
    for (const auto &[Key, Value] : Section)
      Values[Key] = Value.data();
  }
  return Sections;
}

std::string formatIni(const ConfigSections &Sections) {
  std::string Text;
  for (const auto &[Name, Values] : Sections) {
    Text += Text.empty() ? "[" : "\n[";
    Text += Name;
    Text += "]\n";
    for (const auto &[Key, Value] : Values)
      Text.append(Key).append(" = ").append(Value).append("\n");
  }
  return Text;
}

} // namespace rhubarb::net
