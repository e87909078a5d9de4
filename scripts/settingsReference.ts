/**
 * Regenerates the settings reference and the other generated sections of the documentation:
 * `npm run reference`.
 */
import { REFERENCE_PAGES, ReferencePage } from "./reference/ReferencePage.ts";

await Promise.all(REFERENCE_PAGES.map((file) => new ReferencePage(file).update()));
