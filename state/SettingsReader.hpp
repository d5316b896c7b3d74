#pragma once

#include "core/Finding.hpp"
#include "state/NodeTable.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {

/// A node of a file, with its content as checked values and as text.
struct FileNode
{
  NodePath path_;
  NodeContent content_;
  std::string toml_;
};

/// The nodes of a settings file in the order of the file.
std::vector<FileNode>
ReadSettingsFile(std::string_view aText,
                 const std::string& aFile,
                 core::Findings& aFindings);

/// The content of one node given by its own text; wrong values are left out.
NodeContent
ReadNodeText(const NodePath& aPath,
             std::string_view aToml,
             core::Findings& aFindings);

} // namespace crocusslip::state
