/** @file test_main.cpp Runs all tests; the property-based ones with a fixed seed. */
#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=20261203 max_success=200", 0);
    // Libraries keep some memory until the process ends, which CppUTest would report; the sanitizers check for leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
