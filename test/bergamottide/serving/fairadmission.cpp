#include "bergamottide/limits/fairadmission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using serving::FairAdmission;

/*! @brief Sharing of scarce requests among workspaces. */
class FairAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairAdmissionTest);
    CPPUNIT_TEST(singleWorkspaceGetsAll);
    CPPUNIT_TEST(burstDoesNotTakeTheRequestOfAnotherWorkspace);
    CPPUNIT_TEST(requestIsNotReservedForAWorkspaceThatStaysAway);
    CPPUNIT_TEST(allRequestsAreUsedUnderLoadOfUnequalWorkspaces);
    CPPUNIT_TEST_SUITE_END();

public:
    void singleWorkspaceGetsAll()
    {
        for (int request = 0; request < 10; ++request) {
            CPPUNIT_ASSERT(m_admission.admit(m_large, 1, m_now));
        }
        CPPUNIT_ASSERT(!m_admission.admit(m_large, 0, m_now));
    }

    void burstDoesNotTakeTheRequestOfAnotherWorkspace()
    {
        CPPUNIT_ASSERT(m_admission.admit(m_large, 2, m_now));
        CPPUNIT_ASSERT(m_admission.admit(m_large, 1, m_now));
        CPPUNIT_ASSERT(!m_admission.admit(m_small, 0, m_now));
        m_now += std::chrono::milliseconds{300};
        for (int request = 0; request < 10; ++request) {
            CPPUNIT_ASSERT(!m_admission.admit(m_large, 1, m_now));
        }
        CPPUNIT_ASSERT(m_admission.admit(m_small, 1, m_now));
        CPPUNIT_ASSERT(m_admission.admit(m_large, 1, m_now));
    }

    void requestIsNotReservedForAWorkspaceThatStaysAway()
    {
        CPPUNIT_ASSERT(m_admission.admit(m_large, 1, m_now));
        CPPUNIT_ASSERT(!m_admission.admit(m_small, 0, m_now));
        m_now += std::chrono::seconds{1};
        CPPUNIT_ASSERT(m_admission.admit(m_large, 1, m_now));
    }

    /*! @brief One request becomes free every 100 ms; one workspace asks for ten times as much as each of four others.
     */
    void allRequestsAreUsedUnderLoadOfUnequalWorkspaces()
    {
        std::uint32_t freeRequests = 0;
        std::size_t ofLarge = 0;
        std::size_t ofOthers = 0;
        for (int step = 0; step < 3000; ++step, m_now += std::chrono::milliseconds{10}) {
            freeRequests += step % 10 == 0 ? 1 : 0;
            const bool isLarge = step % 14 < 10;
            const WorkspaceName workspace = isLarge ? m_large : WorkspaceName{"workspace-" + std::to_string(step % 14)};
            if (m_admission.admit(workspace, freeRequests, m_now)) {
                --freeRequests;
                (isLarge ? ofLarge : ofOthers) += 1;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ofLarge + ofOthers), ofLarge + ofOthers >= 285);
        // A fair share is 60 of 300 for each.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ofOthers), ofOthers >= 200);
    }

private:
    TimePoint m_now{std::chrono::seconds{100}};
    WorkspaceName m_large{"large"};
    WorkspaceName m_small{"small"};
    FairAdmission m_admission;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairAdmissionTest);
