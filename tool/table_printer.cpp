#include "tool/table_printer.h"

#include <algorithm>

namespace yardwheel {

std::string formatTable(const TableRows &Rows) {
  std::vector<std::size_t> Widths;
  for (const std::vector<std::string> &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  std::string Text;
  for (const std::vector<std::string> &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line += std::string(Widths[I] - Row[I].size() + 2, ' ');
    }
    Text += Line + "\n";
  }
  return Text;
}

} // namespace yardwheel
