#include "details/rendering.h"

#include <algorithm>
#include <ctime>
#include <vector>

namespace Cornelquay::Details {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxColumnWidth = 60;

std::string formatTime(std::int64_t milliseconds)
{
    const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &parts);
    return {text, length};
}

std::string cell(const std::string &key, const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        const std::string text = value.get<std::string>();
        return text.empty() ? "-" : text;
    }
    if (value.is_number_integer() && key.ends_with("-ms") && key != "retry-after-ms" && value.get<std::int64_t>() > 0) {
        return formatTime(value.get<std::int64_t>());
    }
    return value.dump();
}

std::string columnTitle(const std::string &key)
{
    return key.ends_with("-ms") ? key.substr(0, key.size() - 3) : key;
}

std::vector<std::string> columnKeys(const Json &rows)
{
    std::vector<std::string> columns;
    for (const Json &row : rows) {
        for (const auto &[key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

std::string padded(std::string text, std::size_t width)
{
    if (text.size() > MaxColumnWidth) {
        text = text.substr(0, MaxColumnWidth - 3) + "...";
    }
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string renderTable(const Json &rows, const std::string &indent)
{
    const std::vector<std::string> columns = columnKeys(rows);
    std::vector<std::vector<std::string>> lines(1);
    lines[0].reserve(columns.size());
    for (const std::string &column : columns) {
        lines[0].push_back(columnTitle(column));
    }
    for (const Json &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns) {
            line.push_back(row.contains(column) ? cell(column, row[column]) : "-");
        }
        lines.push_back(std::move(line));
    }
    std::string text;
    for (const std::vector<std::string> &line : lines) {
        std::string rendered = indent;
        for (std::size_t column = 0; column < columns.size(); ++column) {
            std::size_t width = 0;
            for (const std::vector<std::string> &otherLine : lines) {
                width = std::max(width, std::min(otherLine[column].size(), MaxColumnWidth));
            }
            rendered += padded(line[column], width) + (column + 1 < columns.size() ? "  " : "");
        }
        rendered.erase(rendered.find_last_not_of(' ') + 1);
        text += rendered + '\n';
    }
    return text;
}

bool isTable(const Json &value)
{
    return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), [](const Json &row) {
               return row.is_object();
           });
}

std::string renderObject(const Json &value)
{
    std::string text;
    for (const auto &[key, member] : value.items()) {
        if (isTable(member)) {
            text += key + ":\n" + renderTable(member, "  ");
        } else if (member.is_string() && member.get<std::string>().find('\n') != std::string::npos) {
            text += key + ":\n" + member.get<std::string>();
        } else {
            text += columnTitle(key) + ": " + cell(key, member) + '\n';
        }
    }
    return text;
}

}

std::string renderText(const Json &value)
{
    if (isTable(value)) {
        return renderTable(value, "");
    }
    if (value.is_object()) {
        return renderObject(value);
    }
    if (value.is_array() && value.empty()) {
        return "(none)\n";
    }
    return value.dump(2) + '\n';
}

}
