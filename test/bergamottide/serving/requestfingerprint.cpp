#include "bergamottide/events/requestfingerprint.h"

#include "bergamottide/events/events.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Identity of repeated requests. */
class RequestFingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestFingerprintTest);
    CPPUNIT_TEST(repeatedRequestHasTheSameFingerprint);
    CPPUNIT_TEST(requestsThatDifferHaveDifferentFingerprints);
    CPPUNIT_TEST(fieldsAreKeptApart);
    CPPUNIT_TEST(partsAreKeptApartByWorkspaceOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedRequestHasTheSameFingerprint()
    {
        CallerRequest again = request();
        again.call = CallId{2};
        again.attempt = "attempt-2";
        again.host = "EXAMPLE";
        again.apiKey = "another key of the same workspace";
        again.deadline = std::chrono::seconds{3};
        CPPUNIT_ASSERT_EQUAL(fingerprintOf(m_north, request()), fingerprintOf(m_north, again));
    }

    void requestsThatDifferHaveDifferentFingerprints()
    {
        std::set<RequestFingerprint> seen{fingerprintOf(m_north, request()),
                                          fingerprintOf(WorkspaceName{"south"}, request())};
        CallerRequest other = request();
        other.body = "body of another request";
        seen.insert(fingerprintOf(m_north, other));
        other = request();
        other.target = "/chat/2";
        seen.insert(fingerprintOf(m_north, other));
        other = request();
        other.host = "other";
        seen.insert(fingerprintOf(m_north, other));
        other = request();
        other.method = "PUT";
        seen.insert(fingerprintOf(m_north, other));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, seen.size());
    }

    void partsAreKeptApartByWorkspaceOnly()
    {
        CallerRequest first = request();
        first.prompt = {{"p", 10}, {"q", 20}, {"own", 30}};
        CallerRequest second = request();
        second.model = "another model";
        second.body = "body of another request";
        second.prompt = {{"q", 10}, {"p", 20}, {"another", 30}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, partFingerprintsOf(m_north, first).size());
        CPPUNIT_ASSERT(partFingerprintsOf(m_north, first) == partFingerprintsOf(m_north, second));
        for (const RequestFingerprint &part : partFingerprintsOf(WorkspaceName{"south"}, first)) {
            CPPUNIT_ASSERT(!partFingerprintsOf(m_north, first).contains(part));
        }
        first.prompt.clear();
        CPPUNIT_ASSERT(partFingerprintsOf(m_north, first).empty());
    }

    /*! @brief A caller must not get the fingerprint of another workspace by moving bytes from one field to the next. */
    void fieldsAreKeptApart()
    {
        CallerRequest first = request();
        first.target = "/chat/1";
        first.body = "0:";
        CallerRequest second = request();
        second.target = "/chat/10:";
        second.body = "";
        CPPUNIT_ASSERT(fingerprintOf(m_north, first) != fingerprintOf(m_north, second));
        first = request();
        first.method = "thPOST";
        CPPUNIT_ASSERT(fingerprintOf(WorkspaceName{"nor"}, first) != fingerprintOf(m_north, request()));
    }

private:
    [[nodiscard]] static CallerRequest request()
    {
        CallerRequest out;
        out.call = CallId{1};
        out.attempt = "attempt-1";
        out.method = "POST";
        out.host = "example";
        out.target = "/chat/1";
        out.apiKey = "key";
        out.body = "body";
        return out;
    }

    const WorkspaceName m_north{"north"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);
