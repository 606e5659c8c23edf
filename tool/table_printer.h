//===- tool/table_printer.h - Plain-text tables -----------------*- C++ -*-===//
#ifndef YARDWHEEL_TOOL_TABLE_PRINTER_H
#define YARDWHEEL_TOOL_TABLE_PRINTER_H

#include <string>
#include <vector>

namespace yardwheel {

/// Rows of cells; the first row is the header.
using TableRows = std::vector<std::vector<std::string>>;

/// Formats rows as aligned columns, two spaces apart.
std::string formatTable(const TableRows &Rows);

} // namespace yardwheel

#endif
