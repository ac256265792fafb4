/** @file test_main.cpp Runs all tests; random ones from a fixed seed. */
#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=20261203 max_success=200", 0);
    // Libraries keep what they allocate once; leaks are the sanitizers' business.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
