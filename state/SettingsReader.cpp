#include "state/SettingsReader.hpp"

#include "state/SettingsValueReader.hpp"
#include "state/Toml.hpp"
#include "state/TomlParser.hpp"
#include "state/TomlPrinter.hpp"

#include <algorithm>
#include <optional>

namespace crocusslip::state {

namespace {

std::uint32_t
LineOf(const toml::node& aNode)
{
  return static_cast<std::uint32_t>(aNode.source().begin.line);
}

std::string
UnknownKey(NodeKind aKind, std::string_view aName)
{
  const std::string_view near = NearestKey(aKind, aName);
  if (near.empty()) {
    return "unknown key";
  }
  return "unknown key; nearest known key: \"" + std::string(near) + "\"";
}

/// Reads the values of one node and collects what is wrong with them.
class NodeReader
{
public:
  NodeReader(const NodePath& aPath,
             const std::string& aFile,
             core::Findings& aFindings)
    : path_(aPath)
    , file_(aFile)
    , findings_(aFindings)
  {
  }

  NodeContent Read(const toml::table& aTable)
  {
    NodeContent content{ LineOf(aTable), {} };
    for (const auto& [key, node] : aTable) {
      ReadOne(key.str(), key.source().begin.line, node, content);
    }
    return content;
  }

private:
  void ReadOne(std::string_view aName,
               std::uint32_t aLine,
               const toml::node& aNode,
               NodeContent& aContent)
  {
    const auto key = FindKey(path_.kind_, aName);
    if (!key) {
      Report(aName, aLine, UnknownKey(path_.kind_, aName));
      return;
    }
    ReadValue read = ReadSettingsValue(SettingsKeys()[*key], aNode);
    if (!read.Ok()) {
      Report(aName, aLine, std::move(read.problem_));
      return;
    }
    aContent.overrides_.push_back({ *key, std::move(read.value_), aLine });
  }

  void Report(std::string_view aName, std::uint32_t aLine, std::string aMessage)
  {
    findings_.push_back({ file_,
                          aLine,
                          path_.Text() + "." + std::string(aName),
                          std::move(aMessage) });
  }

  const NodePath& path_;
  const std::string& file_;
  core::Findings& findings_;
};

/// Walks the sections of a settings file.
class FileReader
{
public:
  FileReader(const std::string& aFile, core::Findings& aFindings)
    : file_(aFile)
    , findings_(aFindings)
  {
  }

  std::vector<FileNode> Read(const toml::table& aTable)
  {
    for (const auto& [key, node] : aTable) {
      ReadSection(key, node);
    }
    return std::move(nodes_);
  }

private:
  void ReadSection(const toml::key& aKey, const toml::node& aNode)
  {
    const std::string_view name = aKey.str();
    const auto kind = KindOf(name);
    if (!kind) {
      Report(aKey, std::string(name), UnknownSection(name));
      return;
    }
    const toml::table* const table = aNode.as_table();
    if (table == nullptr) {
      Report(aKey,
             std::string(name),
             "expected a table such as [" + std::string(name) + "]");
      return;
    }
    if (ParseNodePath(name)) {
      AddNode({ *kind, {} }, *table);
      return;
    }
    for (const auto& [child, childNode] : *table) {
      ReadNamed(*kind, child, childNode);
    }
  }

  void ReadNamed(NodeKind aKind, const toml::key& aKey, const toml::node& aNode)
  {
    const NodePath path{ aKind, std::string(aKey.str()) };
    const toml::table* const table = aNode.as_table();
    if (table == nullptr) {
      Report(aKey,
             path.Text(),
             "expected a table such as [" + std::string(Name(aKind)) +
               ".NAME]");
      return;
    }
    if (!IsNodeName(path.name_)) {
      Report(aKey,
             path.Text(),
             "a name has at most 128 letters, digits and . _ : / @ - and "
             "begins with a letter or digit");
      return;
    }
    AddNode(path, *table);
  }

  void AddNode(const NodePath& aPath, const toml::table& aTable)
  {
    FileNode node{ aPath, {}, {} };
    node.content_ = NodeReader(aPath, file_, findings_).Read(aTable);
    node.toml_ = PrintToml(aTable) + '\n';
    nodes_.push_back(std::move(node));
  }

  static std::optional<NodeKind> KindOf(std::string_view aName)
  {
    for (std::size_t i = 0; i < kNodeKinds; ++i) {
      if (Name(static_cast<NodeKind>(i)) == aName) {
        return static_cast<NodeKind>(i);
      }
    }
    return std::nullopt;
  }

  static std::string UnknownSection(std::string_view aName)
  {
    std::vector<std::string_view> names;
    for (std::size_t i = 0; i < kNodeKinds; ++i) {
      names.push_back(Name(static_cast<NodeKind>(i)));
    }
    const std::string_view near = NearestWord(names, aName);
    return near.empty() ? "unknown section"
                        : "unknown section; nearest known section: [" +
                            std::string(near) + "]";
  }

  void Report(const toml::key& aKey, std::string aPath, std::string aMessage)
  {
    findings_.push_back({ file_,
                          static_cast<std::uint32_t>(aKey.source().begin.line),
                          std::move(aPath),
                          std::move(aMessage) });
  }

  const std::string& file_;
  core::Findings& findings_;
  std::vector<FileNode> nodes_;
};

} // namespace

std::vector<FileNode>
ReadSettingsFile(std::string_view aText,
                 const std::string& aFile,
                 core::Findings& aFindings)
{
  const auto table = ParseToml(aText, aFile, aFindings);
  if (!table) {
    return {};
  }
  return FileReader(aFile, aFindings).Read(*table);
}

NodeContent
ReadNodeText(const NodePath& aPath,
             std::string_view aToml,
             core::Findings& aFindings)
{
  const std::string file = aPath.Text();
  const auto table = ParseToml(aToml, file, aFindings);
  if (!table) {
    return {};
  }
  return NodeReader(aPath, file, aFindings).Read(*table);
}

} // namespace crocusslip::state
