#include "bergamottide/overload/memoryaccount.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <memory>
#include <random>
#include <vector>

using namespace bergamottide;
using overload::HeldFor;
using overload::MemoryAccount;

/*! @brief Bound on the memory that is held for callers. */
class MemoryAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryAccountTest);
    CPPUNIT_TEST(oneHolderGetsHalfOfWhatIsShared);
    CPPUNIT_TEST(refusedGrowthChangesNothing);
    CPPUNIT_TEST(lessIsAlwaysAllowed);
    CPPUNIT_TEST(chargesAreReturnedWithTheirHolder);
    CPPUNIT_TEST(smallHolderFindsRoomBesideGreedyOnes);
    CPPUNIT_TEST(drawnHoldersStayBelowTheLimit);
    CPPUNIT_TEST(hugeAmountsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneHolderGetsHalfOfWhatIsShared()
    {
        MemoryAccount::Holder holder{m_account};
        CPPUNIT_ASSERT_EQUAL(ownPart + limit / 3, m_account.mostForOne());
        CPPUNIT_ASSERT(holder.resize(HeldFor::Request, m_account.mostForOne()));
        CPPUNIT_ASSERT(!holder.resize(HeldFor::Response, 1));
    }

    void refusedGrowthChangesNothing()
    {
        MemoryAccount::Holder holder{m_account};
        CPPUNIT_ASSERT(holder.resize(HeldFor::Request, 100));
        CPPUNIT_ASSERT(!holder.resize(HeldFor::Request, limit / 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, holder.held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, m_account.held());
    }

    void lessIsAlwaysAllowed()
    {
        MemoryAccount::Holder holder{m_account};
        holder.record(HeldFor::Response, limit);
        CPPUNIT_ASSERT(m_account.isScarce());
        CPPUNIT_ASSERT(holder.resize(HeldFor::Response, limit - 1));
        CPPUNIT_ASSERT(holder.resize(HeldFor::Response, 0));
        CPPUNIT_ASSERT(!m_account.isScarce());
    }

    void chargesAreReturnedWithTheirHolder()
    {
        {
            MemoryAccount::Holder holder{m_account};
            CPPUNIT_ASSERT(holder.resize(HeldFor::Connection, 10));
            CPPUNIT_ASSERT(holder.resize(HeldFor::Request, 20));
            CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_account.held(HeldFor::Request));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account.held());
    }

    void smallHolderFindsRoomBesideGreedyOnes()
    {
        std::vector<std::unique_ptr<MemoryAccount::Holder>> greedy;
        for (std::size_t number = 1; number < maxHolders; ++number) {
            greedy.push_back(std::make_unique<MemoryAccount::Holder>(m_account));
            for (std::size_t bytes = limit; bytes != 0; bytes /= 2) {
                static_cast<void>(greedy.back()->resize(HeldFor::Request, greedy.back()->held() + bytes));
            }
        }
        MemoryAccount::Holder ordinary{m_account};
        CPPUNIT_ASSERT(ordinary.resize(HeldFor::Request, ownPart));
        CPPUNIT_ASSERT(m_account.held() <= limit);
    }

    void drawnHoldersStayBelowTheLimit()
    {
        std::mt19937 random{1};
        std::vector<std::unique_ptr<MemoryAccount::Holder>> holders;
        for (int step = 0; step < 20'000; ++step) {
            const std::size_t index = random() % maxHolders;
            if (index >= holders.size()) {
                holders.push_back(std::make_unique<MemoryAccount::Holder>(m_account));
                continue;
            }
            if (random() % 50 == 0) {
                holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
                continue;
            }
            const HeldFor purpose = random() % 2 == 0 ? HeldFor::Request : HeldFor::Response;
            static_cast<void>(holders[index]->resize(purpose, random() % (limit / 10)));
            std::size_t sum = 0;
            for (const auto &holder : holders) {
                sum += holder->held();
            }
            CPPUNIT_ASSERT_EQUAL(sum, m_account.held());
            CPPUNIT_ASSERT(sum <= limit);
        }
    }

    void hugeAmountsAreRefused()
    {
        MemoryAccount::Holder holder{m_account};
        CPPUNIT_ASSERT(holder.resize(HeldFor::Request, 1));
        CPPUNIT_ASSERT(!holder.resize(HeldFor::Request, SIZE_MAX));
        CPPUNIT_ASSERT(!holder.resize(HeldFor::Response, SIZE_MAX));
    }

private:
    static constexpr std::size_t limit = 3'000'000;
    static constexpr std::size_t maxHolders = 300;
    static constexpr std::size_t ownPart = limit / 3 / maxHolders;
    MemoryAccount m_account{limit, maxHolders};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);
