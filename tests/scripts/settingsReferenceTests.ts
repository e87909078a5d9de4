/**
 * Tests that the generated sections of the documentation match the sources.
 */
import test from "ava";
import { REFERENCE_PAGES, ReferencePage } from "../../scripts/reference/ReferencePage.ts";
import { SECTIONS } from "../../scripts/reference/sections.ts";

test("settingsReference finds the pages up to date; `npm run reference` updates them", async (t) => {
  const pages = REFERENCE_PAGES.map((file) => new ReferencePage(file));
  t.deepEqual(await Promise.all(pages.map((page) => page.isCurrent())), [true, true]);
});

test("settingsReference finds every section in the pages", (t) => {
  const names = REFERENCE_PAGES.flatMap((file) => new ReferencePage(file).getSectionNames());
  t.deepEqual(names.toSorted(), Object.keys(SECTIONS).toSorted());
});
