// SPDX-License-Identifier: MIT
#include "tools/ctl/table_command.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <boost/asio/io_context.hpp>

#include "base/identifier.h"
#include "store/etcd_client.h"
#include "store/table_edit.h"
#include "table/columns.h"
#include "table/csv.h"
#include "tools/ctl/run_to_end.h"

namespace valeledge::ctl {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kHistoryShown = 20;

// One connection to the platform.
struct session {
  explicit session(const table_options& options)
      : service(context, {options.platform, options.timeout}, nullptr) {}

  asio::io_context context{1};
  store::etcd_client service;
};

listing ListRows(const std::vector<table::row>& rows) {
  listing out;
  out.header = {"kind", "name"};
  for (const table::column& each : table::Columns())
    out.header.emplace_back(each.name);
  for (const table::row& row : rows) {
    std::vector<std::string> fields = {std::string(ToString(row.kind)),
                                       row.name};
    for (const table::column& each : table::Columns()) {
      fields.push_back(table::HasColumn(row.kind, each) ? each.get(row)
                                                        : std::string());
    }
    out.rows.push_back(std::move(fields));
  }
  return out;
}

exit_status Show(const table_options& options, output_format format) {
  session open(options);
  const auto view = RunToEnd(open.context, store::ViewTable(open.service));
  if (!view)
    return Report(view.error());
  Print(ListRows(view->table->Rows()), format);
  if (format == output_format::kTable)
    std::cout << "revision " << view->table->revision << "\n";
  return exit_status::kOk;
}

exit_status Apply(const table_options& options,
                  std::vector<store::row_edit> edits) {
  session open(options);
  store::table_change change;
  change.id = base::NewIdentifier();
  change.author = options.author;
  change.seen_revision = options.seen_revision;
  change.edits = std::move(edits);
  const auto revision = RunToEnd(
      open.context, store::ApplyChange(open.service, std::move(change)));
  if (!revision)
    return Report(revision.error());
  std::cout << "accepted as revision " << *revision << "\n";
  return exit_status::kOk;
}

// "kind/name" and "column=value" words.
std::optional<store::row_edit> ParseEdit(
    const std::vector<std::string>& words) {
  if (words.size() < 2)
    return std::nullopt;
  const std::size_t slash = words[1].find('/');
  if (slash == std::string::npos)
    return std::nullopt;
  const auto kind = table::ParseRowKind(words[1].substr(0, slash));
  if (!kind)
    return std::nullopt;
  store::row_edit edit;
  edit.kind = *kind;
  edit.name = words[1].substr(slash + 1);
  edit.remove = words[0] == "remove";
  for (std::size_t i = 2; i < words.size(); ++i) {
    const std::size_t equals = words[i].find('=');
    if (equals == std::string::npos || edit.remove)
      return std::nullopt;
    edit.columns[words[i].substr(0, equals)] = words[i].substr(equals + 1);
  }
  return edit;
}

base::result<std::vector<table::row>> ReadCsv(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return base::NotRun(base::result_code::kTableInvalid,
                        "cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return table::FromCsv(text.str());
}

std::vector<store::row_edit> EditsFrom(const std::vector<table::row>& rows) {
  std::vector<store::row_edit> edits;
  for (const table::row& row : rows) {
    store::row_edit edit;
    edit.kind = row.kind;
    edit.name = row.name;
    for (const table::column& each : table::Columns()) {
      const std::string value = each.get(row);
      if (table::HasColumn(row.kind, each) && !value.empty())
        edit.columns[std::string(each.name)] = value;
    }
    edits.push_back(std::move(edit));
  }
  return edits;
}

exit_status Import(const table_options& options, const std::string& file) {
  const auto rows = ReadCsv(file);
  if (!rows)
    return Report(rows.error());
  return Apply(options, EditsFrom(*rows));
}

// What importing the file would change.
exit_status Diff(const table_options& options, const std::string& file) {
  const auto rows = ReadCsv(file);
  if (!rows)
    return Report(rows.error());
  session open(options);
  const auto view = RunToEnd(open.context, store::ViewTable(open.service));
  if (!view)
    return Report(view.error());
  listing out{{"row", "column", "table", "file"}, {}};
  for (const table::row& row : *rows) {
    const table::row* present = view->table->Find(row.kind, row.name);
    for (const table::column& each : table::Columns()) {
      if (!table::HasColumn(row.kind, each))
        continue;
      const std::string before = present ? each.get(*present) : "(none)";
      if (before != each.get(row)) {
        out.rows.push_back(
            {table::KeyOf(row), std::string(each.name), before, each.get(row)});
      }
    }
  }
  Print(out, options.format);
  return exit_status::kOk;
}

exit_status History(const table_options& options) {
  session open(options);
  const auto entries =
      RunToEnd(open.context, store::ReadHistory(open.service, kHistoryShown));
  if (!entries)
    return Report(entries.error());
  listing out{
      {"revision", "time", "author", "change", "row", "before", "after"}, {}};
  for (const store::history_entry& entry : *entries) {
    for (const auto& edit : entry.edits) {
      out.rows.push_back({std::to_string(entry.revision), entry.time,
                          entry.author, entry.change, edit.key, edit.before,
                          edit.after});
    }
  }
  Print(out, options.format);
  return exit_status::kOk;
}

exit_status Usage() {
  std::cerr << "usage: valeledgectl table show | set KIND/NAME COLUMN=VALUE... "
               "| remove KIND/NAME | import FILE | export | diff FILE | "
               "history\n";
  return exit_status::kUsage;
}

}  // namespace

exit_status RunTable(const table_options& options,
                     const std::vector<std::string>& words) {
  if (words.empty())
    return Usage();
  const std::string& verb = words.front();
  if (verb == "show")
    return Show(options, options.format);
  if (verb == "export")
    return Show(options, output_format::kCsv);
  if (verb == "history")
    return History(options);
  if (verb == "set" || verb == "remove") {
    auto edit = ParseEdit(words);
    return edit ? Apply(options, {std::move(*edit)}) : Usage();
  }
  if (words.size() == 2 && verb == "import")
    return Import(options, words[1]);
  if (words.size() == 2 && verb == "diff")
    return Diff(options, words[1]);
  return Usage();
}

}  // namespace valeledge::ctl
