/**
 * Factory functions for settings, so that a schema has one line for each key.
 */
import { AddressListSetting } from "./AddressListSetting.ts";
import { AddressSetting } from "./AddressSetting.ts";
import { ChoiceSetting } from "./ChoiceSetting.ts";
import { DecimalSetting } from "./DecimalSetting.ts";
import { IntegerSetting } from "./IntegerSetting.ts";
import { OptionalAddressSetting } from "./OptionalAddressSetting.ts";
import { TextSetting } from "./TextSetting.ts";

const MAX_DURATION_MS = 86_400_000;
const MAX_SIZE_BYTES = 1_099_511_627_776;
const MAX_COUNT = 1_000_000;
const MIN_BANDWIDTH_MBPS = 0.1;
const MAX_BANDWIDTH_MBPS = 1_000_000;
const MIN_RATIO = 0.001;
const MAX_RATIO = 1_000;

const NAME_FORMAT = {
  type: "name",
  pattern: /^[a-z0-9][a-z0-9._-]{0,62}$/,
  allowed: "1 to 63 of a-z, 0-9, '.', '_' and '-'",
};

/** Creates a required name. */
export function name(doc: string): TextSetting {
  return new TextSetting(NAME_FORMAT, { doc });
}

/** Creates a required address. */
export function address(doc: string): AddressSetting {
  return new AddressSetting({ doc });
}

/** Creates an optional address. */
export function optionalAddress(doc: string): OptionalAddressSetting {
  return new OptionalAddressSetting({ defaultText: "", doc });
}

/** Creates a required list of addresses. */
export function addresses(doc: string): AddressListSetting {
  return new AddressListSetting({ doc });
}

/** Creates a duration of at least one millisecond. */
export function milliseconds(defaultValue: number, doc: string): IntegerSetting {
  const range = { unit: "milliseconds", min: 1, max: MAX_DURATION_MS };
  return new IntegerSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a duration that may be zero. */
export function millisecondsOrZero(defaultValue: number, doc: string): IntegerSetting {
  const range = { unit: "milliseconds", min: 0, max: MAX_DURATION_MS };
  return new IntegerSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a size of at least one byte. */
export function bytes(defaultValue: number, doc: string): IntegerSetting {
  const range = { unit: "bytes", min: 1, max: MAX_SIZE_BYTES };
  return new IntegerSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a count of at least 1. */
export function count(
  unit: string,
  defaultValue: number,
  doc: string,
  max = MAX_COUNT,
): IntegerSetting {
  const range = { unit, min: 1, max };
  return new IntegerSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a bandwidth. */
export function megabitsPerSecond(defaultValue: number, doc: string): DecimalSetting {
  const range = {
    unit: "megabits per second",
    min: MIN_BANDWIDTH_MBPS,
    max: MAX_BANDWIDTH_MBPS,
  };
  return new DecimalSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a ratio above zero. */
export function ratio(defaultValue: number, doc: string): DecimalSetting {
  const range = { unit: "times", min: MIN_RATIO, max: MAX_RATIO };
  return new DecimalSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a percentage from 0 to 100. */
export function percent(defaultValue: number, doc: string): IntegerSetting {
  const range = { unit: "percent", min: 0, max: 100 };
  return new IntegerSetting(range, { defaultText: String(defaultValue), doc });
}

/** Creates a choice from a fixed set of words. */
export function choice<T extends string>(
  choices: readonly T[],
  defaultValue: T,
  doc: string,
): ChoiceSetting<T> {
  return new ChoiceSetting(choices, { defaultText: defaultValue, doc });
}
