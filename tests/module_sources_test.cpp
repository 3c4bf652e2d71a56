#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

// The lines of src/policy are of readable length, and its files are found at all.
TEST(ModuleSources, LinesAreShort) {
    std::size_t non_empty_lines = 0;
    for (const auto& entry : std::filesystem::directory_iterator(MODULE_FOLDER)) {
        std::ifstream file(entry.path());
        ASSERT_TRUE(file.is_open()) << entry.path();
        for (std::string line; std::getline(file, line);) {
            EXPECT_LE(line.size(), 110u) << line;
            non_empty_lines += line.find_first_not_of(" \t") != std::string::npos;
        }
    }
    EXPECT_GT(non_empty_lines, 1000u);
}

// The deployment file lists every file of the decision module.
TEST(ModuleSources, AllFilesAreListedInTheDeployment) {
    std::ifstream deploy(DEPLOY_FILE);
    const std::string text{std::istreambuf_iterator<char>(deploy), {}};
    for (const auto& entry : std::filesystem::directory_iterator(MODULE_FOLDER))
        EXPECT_NE(text.find("src/policy/" + entry.path().filename().string()), std::string::npos)
            << entry.path();
}
