/** @file declaration_files_test.cpp The examples are valid; invalid files give their findings. */

#include "adapter/settings/declaration_loader.h"
#include "adapter/settings/node_settings.h"
#include "support/test_section.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

using namespace wisteriahoist;

namespace {

/**
 * @return The text of lines that begin with "#! ": prefixes of the findings expected for the file.
 */
std::vector<std::string> expectedFindings(const std::string &content)
{
    std::vector<std::string> expected;
    std::istringstream stream(content);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with("#! ")) {
            expected.push_back(line.substr(3));
        }
    }
    return expected;
}

std::vector<std::string> findingsOf(const std::string &content)
{
    std::vector<Finding> findings;
    DeclarationLoader loader(findings);
    loader.parse(content, "bad.toml");
    (void)loader.finish();
    std::stable_sort(
            findings.begin(), findings.end(),
            [](const Finding &one, const Finding &other) { return one.line < other.line; });
    std::vector<std::string> texts;
    for (const Finding &finding : findings) {
        texts.push_back(std::to_string(finding.line) + ": " + finding.message);
    }
    return texts;
}

} // namespace

Test(config_files, invalid_declarations)
{
    size_t files = 0;
    for (const auto &entry :
         std::filesystem::directory_iterator(WH_SOURCE_DIR "/test/data/bad_declarations")) {
        const std::string name = entry.path().filename().string();
        std::vector<Finding> unreadable;
        const std::string content = readTextFile(entry.path().string(), unreadable);
        const std::vector<std::string> expected = expectedFindings(content);
        const std::vector<std::string> found = findingsOf(content);
        ++files;
        cr_assert(!expected.empty(), "%s", name.c_str());
        cr_assert(found.size() == expected.size(), "%s: %zu findings, the last: %s", name.c_str(),
                  found.size(), found.empty() ? "" : found.back().c_str());
        for (size_t index = 0; index < expected.size(); ++index) {
            cr_assert(found[index].starts_with(expected[index]), "%s: %s", name.c_str(),
                      found[index].c_str());
        }
    }
    cr_assert(files == 11, "%zu files", files);
}

Test(config_files, examples)
{
    for (const char *user : {"poteglad", "kalahari"}) {
        std::vector<Finding> findings;
        const std::string folder = std::string(WH_SOURCE_DIR "/examples/") + user;
        const Declarations declarations = loadDeclarations(folder, findings);
        cr_assert(findings.empty(), "%s",
                  findings.empty() ? "" : formatFinding(findings.front()).c_str());
        cr_assert(declarations.services.size() == 3, "%s", user);
    }
}

Test(config_files, unreadable_folder)
{
    std::vector<Finding> findings;
    (void)loadDeclarations(WH_SOURCE_DIR "/no-such-folder", findings);
    cr_assert(findings.size() == 1);
}
