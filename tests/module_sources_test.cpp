#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

TEST(Module, KeepsItsSize) {
    std::size_t filled = 0;
    for (const auto& entry : std::filesystem::directory_iterator(MODULE_FOLDER)) {
        std::ifstream file(entry.path());
        ASSERT_TRUE(file.is_open()) << entry.path();
        for (std::string line; std::getline(file, line);) {
            EXPECT_LE(line.size(), 110u) << line;
            filled += line.find_first_not_of(" \t") != std::string::npos;
        }
    }
    EXPECT_GT(filled, 1000u);
}

// What the deployment names as the decisions is all of them.
TEST(Module, IsNamedWholeByTheDeployment) {
    std::ifstream deploy(DEPLOY_FILE);
    const std::string text{std::istreambuf_iterator<char>(deploy), {}};
    for (const auto& entry : std::filesystem::directory_iterator(MODULE_FOLDER))
        EXPECT_NE(text.find("src/policy/" + entry.path().filename().string()), std::string::npos)
            << entry.path();
}
