#include "bergamottide/config/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace bergamottide;

namespace {

const std::string common = "instance: i-1\n"
                           "region: r\n"
                           "zone: z\n"
                           "peersAddress: 127.0.0.1:9080\n"
                           "adminAddress: '[::1]:0'\n"
                           "configService: 127.0.0.1:7000\n"
                           "instanceList: 127.0.0.1:7001\n"
                           "adminKeyDigest: "
    + std::string(64, 'a') + "\n";
const std::string side = common + "role: side\npool: engines\nendpointAddress: 10.0.0.1:6000\n";

std::string issuesOf(const SettingsResult &result)
{
    std::string text;
    for (const ConfigIssue &issue : result.issues) {
        text += std::to_string(issue.line) + ' ' + issue.path + ' ' + std::string{enumName(issue.kind)} + '\n';
    }
    return text;
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(sideIsRead);
    CPPUNIT_TEST(overridesReplaceAndAreChecked);
    CPPUNIT_TEST(roleDecidesWhatIsRequired);
    CPPUNIT_TEST(certificatesComeTogether);
    CPPUNIT_TEST(hostNamesAreRefused);
    CPPUNIT_TEST(overridesKeepCommasOfLists);
    CPPUNIT_TEST_SUITE_END();

public:
    void sideIsRead()
    {
        const SettingsResult result = parseSettings(side);
        CPPUNIT_ASSERT_EQUAL(std::string{}, issuesOf(result));
        CPPUNIT_ASSERT(result.settings->role == Role::Sidecar);
        CPPUNIT_ASSERT_EQUAL(std::string{"engines"}, result.settings->pool.text());
        CPPUNIT_ASSERT(result.settings->logLevel == Severity::Info);
    }

    void overridesReplaceAndAreChecked()
    {
        const SettingsResult result = parseSettings(side, {{"logLevel", "debug"}, {"pool", "encoders"}});
        CPPUNIT_ASSERT_EQUAL(std::string{}, issuesOf(result));
        CPPUNIT_ASSERT(result.settings->logLevel == Severity::Debug);
        CPPUNIT_ASSERT_EQUAL(std::string{"encoders"}, result.settings->pool.text());
        const SettingsResult wrong = parseSettings(side, {{"logLevel", "loud"}, {"colour", "red"}});
        CPPUNIT_ASSERT_EQUAL(std::string{"0 colour unknown_field\n0 logLevel invalid_value\n"}, issuesOf(wrong));
    }

    void roleDecidesWhatIsRequired()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"0 callersAddress missing_field\n0 ticketKeyFiles missing_field\n"},
                             issuesOf(parseSettings(common + "role: entry\n")));
        CPPUNIT_ASSERT_EQUAL(std::string{"12 callersAddress conflict\n"},
                             issuesOf(parseSettings(side + "callersAddress: 127.0.0.1:1\n")));
        CPPUNIT_ASSERT_EQUAL(std::string{"0 endpointAddress missing_field\n0 pool missing_field\n"},
                             issuesOf(parseSettings(common + "role: side\n")));
    }

    void certificatesComeTogether()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"0 peersAuthority missing_field\n0 peersKey missing_field\n"},
                             sorted(parseSettings(side + "peersCertificate: c.pem\n")));
    }

    void hostNamesAreRefused()
    {
        for (const std::string address : {"localhost:1", "127.0.0.1", "127.0.0.1:65536", "::1:80", "[127.0.0.1]:1"}) {
            const SettingsResult result = parseSettings(side, {{"endpointAddress", '"' + address + '"'}});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(address, std::string{"0 endpointAddress out_of_range\n"}, issuesOf(result));
        }
    }

    void overridesKeepCommasOfLists()
    {
        const auto overrides = parseOverrides("a=1,files=[x,y],b=");
        CPPUNIT_ASSERT(overrides);
        CPPUNIT_ASSERT(SettingOverrides({{"a", "1"}, {"b", ""}, {"files", "[x,y]"}}) == *overrides);
        CPPUNIT_ASSERT(!parseOverrides("a"));
        CPPUNIT_ASSERT(!parseOverrides("a=1,a=2"));
        CPPUNIT_ASSERT(!parseOverrides("=1"));
    }

private:
    static std::string sorted(SettingsResult result)
    {
        std::sort(result.issues.begin(), result.issues.end(),
                  [](const ConfigIssue &a, const ConfigIssue &b) { return a.path < b.path; });
        return issuesOf(result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
