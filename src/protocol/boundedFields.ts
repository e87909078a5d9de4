/**
 * Fields of messages and stored values that others write, with the bounds that their meaning gives:
 * what is outside of them names nothing to use. A number that no message between processes can carry
 * would fail each later message that has it, and an address that no URL can hold each call.
 */
import { z } from "zod";
import { isAddress } from "./settings/AddressSetting.ts";

const MAX_UINT32 = 2 ** 32 - 1;
/** Largest number from which counting on for years stays within 32 bits. */
const MAX_COUNTED = 2 ** 31;
/** Maximum number of errors that are described, and of characters of their description. */
const MAX_DESCRIBED_ISSUES = 5;
const MAX_DESCRIPTION_LENGTH = 1_000;
/** Maximum length of a name or id. */
const MAX_NAME_LENGTH = 256;

/** Whole number from 0 on that is represented exactly; the negative zero is read as zero. */
export const wholeNumber = z
  .number()
  .int()
  .min(0)
  .overwrite((value) => value + 0);

/** Whole number from 0 on that a message can carry as 32 bits. */
export const wholeNumber32 = wholeNumber.max(MAX_UINT32);

/** Number that is counted up, such as that of a run; a message can carry it and many after it. */
export const counter32 = wholeNumber.max(MAX_COUNTED);

/** Time span or point in time in milliseconds, with fractions. */
export const milliseconds = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** Number of any sign that sums and products stay finite with. */
export const finiteNumber = z.number().min(-Number.MAX_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER);

/** Time span or point in time in milliseconds that may be negative. */
export const signedMilliseconds = finiteNumber;

/** Text without half of a pair of code units, which no message can carry. */
export const wellFormedText = z.string().refine((text) => text.isWellFormed(), {
  error: "not well-formed Unicode",
});

/** Name or id. */
export const name = wellFormedText.min(1).max(MAX_NAME_LENGTH);

/** Name, or nothing. */
export const optionalName = wellFormedText.max(MAX_NAME_LENGTH);

/** Address that can be called: host and port from 1 on, such as "10.0.0.1:7000". */
export const calledAddress = z.string().refine(isCallable, {
  error: "expected host:port with a port from 1 to 65535",
});

/**
 * Describes the first of the errors that were found, with the names of the fields; a value of which
 * each element is wrong has as many errors.
 * @param error - The errors.
 */
export function describeIssues({ issues }: z.ZodError): string {
  const text = z.prettifyError(new z.ZodError(issues.slice(0, MAX_DESCRIBED_ISSUES)));
  const omitted = issues.length - MAX_DESCRIBED_ISSUES;
  const end = omitted > 0 ? ` (and ${omitted} more)` : "";
  return `${text.slice(0, MAX_DESCRIPTION_LENGTH)}${end}`;
}

function isCallable(text: string): boolean {
  return isAddress(text) && !/:0+$/.test(text) && URL.canParse(`http://${text}`);
}
