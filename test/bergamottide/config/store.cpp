#include "bergamottide/config/store.h"

#include "bergamottide/config/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;

namespace {

Document baseDocument(std::uint64_t version)
{
    Document document;
    document.version = version;
    const PoolName pool{"services"};
    document.pools[pool] = {.name = pool, .kind = PoolKind::Service};
    const PipelineName pipeline{"p"};
    document.pipelines[pipeline] = {pipeline, {{.name = StageName{"s"}, .pool = pool}}};
    for (int number = 0; number < 4; ++number) {
        const WorkspaceName name{"w" + std::to_string(number)};
        document.workspaces[name] = {.name = name};
        document.bindings.push_back({.workspace = name, .pipeline = pipeline});
    }
    return document;
}

/*! @brief Changes one thing of a document; every choice leaves it valid. */
void change(Document &document, int choice)
{
    const WorkspaceName name{"w" + std::to_string(choice % 6)};
    switch (choice % 5) {
    case 0:
        document.workspaces[name].name = name;
        document.workspaces[name].maxInProgress += 1;
        return;
    case 1: {
        // One workspace stays: a document without any is refused.
        const WorkspaceName other{"w" + std::to_string(1 + choice % 5)};
        document.workspaces.erase(other);
        std::erase_if(document.bindings, [&other](const Binding &binding) { return binding.workspace == other; });
        return;
    }
    case 2:
        document.policy.queueLimit += 1;
        return;
    case 3:
        document.policy = {};
        return;
    default:
        document.kinds[KindName{name.text()}] = {.name = KindName{name.text()}, .value = 1.0 + choice};
        return;
    }
}

Document changed(Document document, const std::vector<int> &choices, std::uint64_t version)
{
    for (const int choice : choices) {
        change(document, std::abs(choice % 1000));
    }
    document.version = version;
    return document;
}

std::string acceptance(const Verdict &verdict)
{
    return std::string{enumName(verdict.acceptance)};
}

ConfigStore storeWith(const Document &document)
{
    ConfigStore store;
    CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, acceptance(store.offerText(writeDocument(document))));
    return store;
}

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(onlyHigherVersionsAreAccepted);
    CPPUNIT_TEST(sameVersionWithAnotherDigestConflicts);
    CPPUNIT_TEST(invalidAndCutOffTextsLeaveTheOneInForce);
    CPPUNIT_TEST(deltaCarriesTheChangeAlone);
    CPPUNIT_TEST(deltaWithAnotherBaseIsMismatched);
    CPPUNIT_TEST(alteredDeltaIsRefused);
    CPPUNIT_TEST(deltaToAnInvalidDocumentIsRefused);
    CPPUNIT_TEST(forgottenBaseGivesTheWholeDocument);
    CPPUNIT_TEST(propertyDeltasLeadToTheSameDocument);
    CPPUNIT_TEST(propertyOffersInAnyOrderNeverRevert);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyHigherVersionsAreAccepted()
    {
        ConfigStore store = storeWith(baseDocument(5));
        CPPUNIT_ASSERT_EQUAL(std::string{"same"}, acceptance(store.offerText(writeDocument(baseDocument(5)))));
        CPPUNIT_ASSERT_EQUAL(std::string{"older"}, acceptance(store.offerText(writeDocument(baseDocument(4)))));
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, acceptance(store.offerText(writeDocument(baseDocument(9)))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, store.version());
        CPPUNIT_ASSERT_EQUAL(std::string{"older"}, acceptance(store.offerDelta({})));
    }

    void sameVersionWithAnotherDigestConflicts()
    {
        ConfigStore store = storeWith(baseDocument(5));
        const std::uint64_t digest = store.digest();
        const Document other = changed(baseDocument(5), {2}, 5);
        CPPUNIT_ASSERT_EQUAL(std::string{"conflicting"}, acceptance(store.offerText(writeDocument(other))));
        CPPUNIT_ASSERT_EQUAL(std::string{"conflicting"},
                             acceptance(store.offerDelta(makeWholeDelta(*makeSnapshot(other)))));
        CPPUNIT_ASSERT_EQUAL(digest, store.digest());
    }

    void invalidAndCutOffTextsLeaveTheOneInForce()
    {
        ConfigStore store = storeWith(baseDocument(5));
        const std::uint64_t digest = store.digest();
        const std::string text = writeDocument(baseDocument(6));
        for (const std::string &wrong : {text.substr(0, text.size() / 2), text.substr(0, text.size() - 4),
                                         std::string{}, "policy: {queueLimit: 0}\n" + text}) {
            const Verdict verdict = store.offerText(wrong);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(wrong, std::string{"invalid"}, acceptance(verdict));
            CPPUNIT_ASSERT(!verdict.issues.empty());
            CPPUNIT_ASSERT_EQUAL(digest, store.digest());
        }
    }

    void deltaCarriesTheChangeAlone()
    {
        const Document first = baseDocument(1);
        ConfigStore parent = storeWith(first);
        ConfigStore child = storeWith(first);
        parent.offerText(writeDocument(changed(first, {0}, 2)));
        const ConfigDelta delta = parent.deltaSince(1, child.digest());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.sections.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"workspaces/w0"}, delta.sections.front().name);
        const Verdict verdict = child.offerDelta(delta);
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, acceptance(verdict));
        CPPUNIT_ASSERT_EQUAL(parent.digest(), child.digest());
        CPPUNIT_ASSERT_EQUAL(1001U, child.current()->document->workspaces.at(WorkspaceName{"w0"}).maxInProgress);
    }

    void deltaWithAnotherBaseIsMismatched()
    {
        ConfigStore parent = storeWith(baseDocument(1));
        const std::uint64_t digest = parent.digest();
        parent.offerText(writeDocument(changed(baseDocument(1), {2}, 3)));
        const ConfigDelta delta = parent.deltaSince(1, digest);
        ConfigStore empty;
        CPPUNIT_ASSERT_EQUAL(std::string{"mismatched"}, acceptance(empty.offerDelta(delta)));
        ConfigStore other = storeWith(baseDocument(2));
        CPPUNIT_ASSERT_EQUAL(std::string{"mismatched"}, acceptance(other.offerDelta(delta)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, other.version());
    }

    void alteredDeltaIsRefused()
    {
        ConfigStore child = storeWith(baseDocument(1));
        const SnapshotPointer next = makeSnapshot(changed(baseDocument(1), {0, 2}, 2));
        const ConfigDelta whole = makeWholeDelta(*next);
        ConfigDelta delta = whole;
        delta.sections.pop_back();
        CPPUNIT_ASSERT_EQUAL(std::string{"mismatched"}, acceptance(child.offerDelta(delta)));
        delta = whole;
        delta.sections.front().text = "{kind: engine}";
        CPPUNIT_ASSERT_EQUAL(std::string{"mismatched"}, acceptance(child.offerDelta(delta)));
        delta = whole;
        delta.version = 7;
        CPPUNIT_ASSERT_EQUAL(std::string{"mismatched"}, acceptance(child.offerDelta(delta)));
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, acceptance(child.offerDelta(whole)));
    }

    void deltaToAnInvalidDocumentIsRefused()
    {
        ConfigStore child = storeWith(baseDocument(1));
        Document broken = baseDocument(2);
        broken.pools.clear();
        const Verdict verdict = child.offerDelta(makeWholeDelta(*makeSnapshot(broken)));
        CPPUNIT_ASSERT_EQUAL(std::string{"invalid"}, acceptance(verdict));
        CPPUNIT_ASSERT(!verdict.issues.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, child.version());
    }

    void forgottenBaseGivesTheWholeDocument()
    {
        ConfigStore store = storeWith(baseDocument(1));
        store.offerText(writeDocument(changed(baseDocument(1), {2}, 2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.deltaSince(1, 12345).base);
        CPPUNIT_ASSERT_EQUAL(store.current()->sections.size(), store.deltaSince(1, 12345).sections.size());
    }

    void propertyDeltasLeadToTheSameDocument()
    {
        const bool held = rc::check([](const std::vector<std::vector<int>> &steps) {
            ConfigStore parent;
            Document document = baseDocument(1);
            (void)parent.offerText(writeDocument(document));
            std::vector<std::pair<std::uint64_t, std::uint64_t>> past{{1, parent.digest()}};
            std::vector<ConfigStore> children{parent};
            std::uint64_t version = 1;
            for (const std::vector<int> &choices : steps) {
                document = changed(document, choices, ++version);
                RC_ASSERT(parent.offerText(writeDocument(document)).acceptance == Acceptance::Accepted);
                past.emplace_back(version, parent.digest());
                children.push_back(parent);
            }
            RC_ASSERT(parent.digest() == documentDigest(document));
            for (std::size_t index = 0; index < past.size(); ++index) {
                (void)children[index].offerDelta(parent.deltaSince(past[index].first, past[index].second));
                RC_ASSERT(children[index].digest() == parent.digest());
                RC_ASSERT(documentDigest(*children[index].current()->document) == parent.digest());
            }
        });
        CPPUNIT_ASSERT(held);
    }

    void propertyOffersInAnyOrderNeverRevert()
    {
        const bool held = rc::check([](const std::vector<std::uint8_t> &order) {
            ConfigStore store;
            std::uint64_t highest = 0;
            for (const std::uint8_t number : order) {
                const std::uint64_t version = 1 + number % 16;
                const std::string text = writeDocument(changed(baseDocument(version), {number / 16}, version));
                const bool newer = version > highest;
                RC_ASSERT((store.offerText(text).acceptance == Acceptance::Accepted) == newer);
                highest = std::max(highest, version);
                RC_ASSERT(store.version() == highest);
            }
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
