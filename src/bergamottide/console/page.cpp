#include "bergamottide/console/console.h"

namespace bergamottide {

std::string_view consolePage()
{
    return R"page(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>bergamottide console</title>
<style>
body { font: 16px/1.4 system-ui, sans-serif; margin: 0 auto; max-width: 70rem; padding: 0 1rem 4rem; }
header { position: sticky; top: 0; background: Canvas; padding: .5rem 0; border-bottom: 1px solid; }
fieldset { margin: .75rem 0; }
fieldset fieldset { margin-left: 1rem; }
.fields { display: grid; grid-template-columns: repeat(auto-fill, minmax(15rem, 1fr)); gap: .5rem 1rem; }
label { display: block; }
input, select { width: 100%; box-sizing: border-box; font: inherit; }
small { display: block; opacity: .8; }
.issue { color: #b00020; font-weight: 600; }
[aria-invalid=true] { outline: 2px solid #b00020; }
:focus-visible { outline: 3px solid #0050c8; }
</style>
</head>
<body>
<header>
<h1>Configuration document</h1>
<p>
<label>Key of the admin port <input id="key" type="password" autocomplete="off"></label>
<label>Load a document <input id="file" type="file" accept=".yaml,.yml"></label>
<button id="validate" type="button">Validate</button>
<button id="download" type="button" disabled>Download the validated document</button>
</p>
<p id="state" role="status" aria-live="polite">Enter the key, then load a document or begin with an empty one.</p>
</header>
<section aria-labelledby="issues-title" id="issues-part" hidden>
<h2 id="issues-title">Issues</h2>
<ol id="issues"></ol>
</section>
<main id="form"></main>
<script>
"use strict";
// The forms are made from the tables of the reader (GET /v1/schema); the text of a file is read
// by the server (POST /v1/read), which also judges the outcome (POST /v1/validate).
let sections = [];
let model = {version: "1"};
let validated = "";

const byId = id => document.getElementById(id);
const say = text => { byId("state").textContent = text; };

async function ask(path, body) {
    const options = {headers: {Authorization: "Bearer " + byId("key").value}};
    if (body !== undefined) {
        options.method = "POST";
        options.body = body;
    }
    const answer = await fetch(path, options);
    if (answer.status === 401) {
        throw new Error("The key is not accepted.");
    }
    return answer.json();
}

function element(tag, properties, ...children) {
    const made = Object.assign(document.createElement(tag), properties);
    made.append(...children);
    return made;
}

function changed() {
    validated = "";
    byId("download").disabled = true;
}

// Text of a value in the file. Numbers and flags stand plain, everything else in quotes.
function scalarText(field, text) {
    const plain = ["whole number", "number", "flag"].includes(field.type);
    return plain && /^[0-9.a-z+-]+$/i.test(text) ? text : JSON.stringify(text);
}

function valueText(field, value) {
    if (!field.type.startsWith("list of ")) {
        return scalarText(field, value);
    }
    const items = value.split(",").map(item => item.trim()).filter(item => item !== "");
    return "[" + items.map(item => JSON.stringify(item)).join(", ") + "]";
}

function recordText(fields, record) {
    const parts = [];
    for (const field of fields) {
        if (field.name === "stages") {
            const stages = sectionOf("stages").fields;
            parts.push("stages: [" + (record.stages || []).map(one => recordText(stages, one)).join(", ") + "]");
            continue;
        }
        const value = record[field.name];
        if (value !== undefined && value !== "") {
            parts.push(field.name + ": " + valueText(field, value));
        }
    }
    return "{" + parts.join(", ") + "}";
}

function documentText() {
    let text = "";
    for (const section of sections) {
        const content = model[section.name];
        if (section.name === "stages" || content === undefined) {
            continue;
        }
        if (section.shape === "whole number") {
            text += section.name + ": " + scalarText({type: "whole number"}, content) + "\n";
        } else if (section.shape === "map") {
            text += section.name + ": " + recordText(section.fields, content) + "\n";
        } else if (content.length > 0) {
            text += section.name + ":\n";
            for (const entry of content) {
                const record = recordText(section.fields, entry.fields);
                text += section.shape === "list" ? "  - " : "  " + JSON.stringify(entry.name) + ": ";
                text += record + "\n";
            }
        }
    }
    return text + "...\n";
}

function sectionOf(name) {
    return sections.find(section => section.name === name);
}

// Values of a read file, as the inputs hold them: texts, lists joined by commas.
function fromTree(tree, fields) {
    const record = {};
    for (const field of fields) {
        const value = tree === null || typeof tree !== "object" ? undefined : tree[field.name];
        if (value === undefined) {
            continue;
        }
        if (field.name === "stages") {
            const list = Array.isArray(value) ? value : [];
            record.stages = list.map(one => fromTree(one, sectionOf("stages").fields));
        } else {
            record[field.name] = Array.isArray(value) ? value.join(", ") : String(value ?? "");
        }
    }
    return record;
}

function modelFrom(tree) {
    const made = {version: String(tree.version ?? "1")};
    for (const section of sections) {
        const content = tree[section.name];
        if (section.shape === "map by name") {
            made[section.name] = Object.entries(content ?? {}).map(
                ([name, value]) => ({name, fields: fromTree(value, section.fields)}));
        } else if (section.shape === "list" && section.name !== "stages") {
            const list = Array.isArray(content) ? content : [];
            made[section.name] = list.map(one => ({fields: fromTree(one, section.fields)}));
        } else if (section.shape === "map") {
            made[section.name] = fromTree(content, section.fields);
        }
    }
    return made;
}

function inputFor(field, record, path) {
    let input;
    if (field.type === "choice" || field.type === "flag") {
        input = element("select", {});
        input.append(element("option", {value: "", textContent: field.required ? "choose" : field.default}));
        for (const name of field.range.split(", ")) {
            input.append(element("option", {value: name, textContent: name}));
        }
    } else {
        input = element("input", {type: "text", placeholder: field.required ? "" : field.default});
    }
    input.value = record[field.name] ?? "";
    input.dataset.path = path;
    input.required = field.required;
    input.addEventListener("input", () => { record[field.name] = input.value; changed(); });
    const hint = field.doc + " " + field.type + (field.range ? ": " + field.range : "");
    return element("label", {}, field.name, input, element("small", {textContent: hint}));
}

function button(text, action) {
    const made = element("button", {type: "button", textContent: text});
    made.addEventListener("click", () => { action(); changed(); render(); });
    return made;
}

function move(list, index, by) {
    const to = index + by;
    if (to >= 0 && to < list.length) {
        list.splice(to, 0, list.splice(index, 1)[0]);
    }
}

function fieldsOf(fields, record, path) {
    const grid = element("div", {className: "fields"});
    const parts = [grid];
    for (const field of fields) {
        if (field.name !== "stages") {
            grid.append(inputFor(field, record, path + "." + field.name));
            continue;
        }
        record.stages ??= [];
        parts.push(stagesOf(record.stages, path + ".stages"));
    }
    return parts;
}

function stagesOf(stages, path) {
    const part = element("fieldset", {}, element("legend", {textContent: "stages, in the order they run"}));
    part.dataset.path = path;
    part.tabIndex = -1;
    stages.forEach((stage, index) => {
        const inner = path + "[" + index + "]";
        const label = "Stage " + (index + 1);
        part.append(element("fieldset", {}, element("legend", {textContent: label}),
            ...fieldsOf(sectionOf("stages").fields, stage, inner),
            button("Earlier", () => move(stages, index, -1)), button("Later", () => move(stages, index, 1)),
            button("Remove " + label.toLowerCase(), () => stages.splice(index, 1))));
    });
    part.append(button("Add a stage", () => stages.push({})));
    return part;
}

function entryOf(section, list, entry, index) {
    const named = section.shape === "map by name";
    const path = section.name + (named ? "." + entry.name : "[" + index + "]");
    const legend = section.name + " " + (named ? entry.name : index + 1);
    const part = element("fieldset", {}, element("legend", {textContent: legend}));
    part.dataset.path = path;
    part.tabIndex = -1;
    if (named) {
        const name = element("input", {type: "text", value: entry.name, required: true});
        name.addEventListener("input", () => { entry.name = name.value; changed(); });
        name.addEventListener("change", render);
        part.append(element("label", {}, "name", name));
    }
    part.append(...fieldsOf(section.fields, entry.fields, path),
        button("Remove " + legend, () => list.splice(index, 1)));
    return part;
}

function render() {
    const form = byId("form");
    form.replaceChildren();
    for (const section of sections) {
        if (section.name === "stages") {
            continue;
        }
        const part = element("fieldset", {}, element("legend", {textContent: section.name}),
            element("p", {textContent: section.doc}));
        part.dataset.path = section.name;
        part.tabIndex = -1;
        if (section.shape === "whole number") {
            const field = {name: "version", type: "whole number", range: "", doc: section.doc, required: true};
            part.append(inputFor(field, model, "version"));
        } else if (section.shape === "map") {
            model[section.name] ??= {};
            part.append(...fieldsOf(section.fields, model[section.name], section.name));
        } else {
            const list = model[section.name] ??= [];
            list.forEach((entry, index) => part.append(entryOf(section, list, entry, index)));
            part.append(button("Add to " + section.name, () => list.push({name: "", fields: {}})));
        }
        form.append(part);
    }
}

// The place of an issue: its own field, or the nearest part around it.
function placeOf(path) {
    for (let rest = path; rest !== ""; rest = rest.replace(/(\.[^.[]*|\[\d+\]|^[^.[]*)$/, "")) {
        const place = document.querySelector('[data-path="' + CSS.escape(rest) + '"]');
        if (place) {
            return place;
        }
    }
    return byId("validate");
}

function showIssues(issues) {
    byId("issues-part").hidden = issues.length === 0;
    byId("issues").replaceChildren();
    document.querySelectorAll(".issue").forEach(one => one.remove());
    document.querySelectorAll("[aria-invalid]").forEach(one => one.removeAttribute("aria-invalid"));
    for (const issue of issues) {
        const text = (issue.line ? "line " + issue.line + ": " : "") + (issue.path ? issue.path + ": " : "")
            + issue.reason;
        const place = placeOf(issue.path);
        const go = element("button", {type: "button", textContent: text});
        go.addEventListener("click", () => place.focus());
        byId("issues").append(element("li", {}, go));
        if (issue.path) {
            place.setAttribute("aria-invalid", "true");
            const note = element("span", {className: "issue", textContent: issue.reason});
            place.tagName === "FIELDSET" ? place.prepend(note) : place.after(note);
        }
    }
}

async function prepare() {
    if (sections.length === 0) {
        sections = (await ask("/v1/schema")).sections;
        render();
    }
}

async function guarded(action) {
    try {
        await action();
    } catch (error) {
        say(error.message);
    }
}

byId("key").addEventListener("change", () => guarded(async () => {
    await prepare();
    say("The forms are ready.");
}));

byId("file").addEventListener("change", () => guarded(async () => {
    const file = byId("file").files[0];
    if (!file) {
        return;
    }
    await prepare();
    const read = await ask("/v1/read", await file.text());
    changed();
    if (read.document === null || typeof read.document !== "object") {
        say("The file could not be read.");
    } else {
        model = modelFrom(read.document);
        render();
        say("Loaded. Comments of the file are not kept.");
    }
    showIssues(read.issues);
}));

byId("validate").addEventListener("click", () => guarded(async () => {
    await prepare();
    const text = documentText();
    const verdict = await ask("/v1/validate", text);
    showIssues(verdict.issues);
    validated = verdict.valid ? text : "";
    byId("download").disabled = !verdict.valid;
    say(verdict.valid ? "Valid, version " + verdict.version + "." : verdict.issues.length + " issues.");
}));

byId("download").addEventListener("click", () => {
    if (validated === "") {
        return;
    }
    const link = element("a", {download: "document.yaml"});
    link.href = URL.createObjectURL(new Blob([validated], {type: "application/yaml"}));
    link.click();
    URL.revokeObjectURL(link.href);
});
</script>
</body>
</html>
)page";
}

} // namespace bergamottide
