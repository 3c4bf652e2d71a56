#include <gtest/gtest.h>

#include <fstream>
#include <string>

TEST(Module, KeepsItsSize) {
    std::ifstream file(MODULE_PATH);
    ASSERT_TRUE(file.is_open());
    std::string line;
    std::size_t filled = 0;
    while (std::getline(file, line)) {
        EXPECT_LE(line.size(), 110u) << line;
        filled += line.find_first_not_of(" \t") != std::string::npos;
    }
    EXPECT_GT(filled, 100u);
    EXPECT_LE(filled, 1200u);
}
