/**
 * Tests that the generated sections of the pages are as the sources say.
 */
import test from "ava";
import { REFERENCE_PAGES, ReferencePage } from "../../scripts/reference/ReferencePage.ts";
import { SECTIONS } from "../../scripts/reference/sections.ts";

test("settingsReference has every page as the sources say; `npm run reference` mends it", async (t) => {
  const pages = REFERENCE_PAGES.map((file) => new ReferencePage(file));
  t.deepEqual(await Promise.all(pages.map((page) => page.isCurrent())), [true, true]);
});

test("settingsReference has a place for every section", (t) => {
  const names = REFERENCE_PAGES.flatMap((file) => new ReferencePage(file).getSectionNames());
  t.deepEqual(names.toSorted(), Object.keys(SECTIONS).toSorted());
});
