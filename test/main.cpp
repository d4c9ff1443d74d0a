#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace {

/*! @brief What the command line asks for. */
struct Options
{
    /*! @brief Run only tests whose name contains this. */
    std::string filter;
    /*! @brief Names of tests that may fail, one at the start of each line of the file. */
    std::set<std::string> knownRed;
    bool list{};
    /*! @brief Run only every `shards`-th test, beginning with this one. */
    std::size_t shard{};
    std::size_t shards{1};
};

std::set<std::string> readKnownRed(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        names.insert(line.substr(0, line.find_first_of(" \t|")));
    }
    return names;
}

Options readOptions(int argc, char **argv)
{
    Options options;
    for (int index = 1; index < argc; ++index) {
        const std::string_view argument{argv[index]};
        if (argument == "--known-red" && index + 1 < argc) {
            options.knownRed = readKnownRed(argv[++index]);
            continue;
        }
        if (argument == "--list") {
            options.list = true;
            continue;
        }
        if (argument == "--shard" && index + 2 < argc) {
            options.shard = std::stoul(argv[++index]);
            options.shards = std::max(std::stoul(argv[++index]), 1UL);
            continue;
        }
        options.filter = argument;
    }
    return options;
}

/*! @brief Collects the leaves of a tree of tests whose names contain the filter. */
void collect(CppUnit::Test *test, const std::string &filter, std::vector<CppUnit::Test *> &found)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(filter) != std::string::npos) {
            found.push_back(test);
        }
        return;
    }
    for (int index = 0; index < test->getChildTestCount(); ++index) {
        collect(test->getChildTestAt(index), filter, found);
    }
}

void print(const CppUnit::TestFailure &failure, std::string_view label)
{
    std::cout << label << ": " << failure.failedTestName() << " (" << failure.sourceLine().fileName() << ":"
              << failure.sourceLine().lineNumber() << ")\n"
              << failure.thrownException()->what() << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    // As the daemons do: h2o writes to connections whose other end may be gone.
    std::signal(SIGPIPE, SIG_IGN);
    // Properties draw the same cases in each run; RC_PARAMS from outside explores others.
    setenv("RC_PARAMS", "seed=1", 0);
    const Options options = readOptions(argc, argv);
    CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    std::vector<CppUnit::Test *> tests;
    collect(all, options.filter, tests);

    std::vector<CppUnit::Test *> ofShard;
    for (std::size_t index = options.shard; index < tests.size(); index += options.shards) {
        ofShard.push_back(tests[index]);
    }
    tests = std::move(ofShard);

    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    if (!options.filter.empty()) {
        result.addListener(&progress);
    }
    for (CppUnit::Test *test : tests) {
        if (options.list) {
            std::cout << test->getName() << "\n";
            continue;
        }
        test->run(&result);
    }
    std::set<std::string> failed;
    std::set<std::string> passedOver;
    for (const CppUnit::TestFailure *failure : collector.failures()) {
        const bool known = options.knownRed.contains(failure->failedTestName());
        (known ? passedOver : failed).insert(failure->failedTestName());
        print(*failure, known ? "known red" : "failed");
    }
    const auto ran = options.list ? 0 : tests.size();
    std::cout << ran - failed.size() - passedOver.size() << " passed, " << failed.size() << " failed";
    if (!passedOver.empty()) {
        std::cout << ", " << passedOver.size() << " skipped";
    }
    std::cout << std::endl;
    delete all;
    return failed.empty() && (ran > 0 || options.list) ? 0 : 1;
}
