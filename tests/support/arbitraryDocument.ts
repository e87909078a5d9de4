/**
 * Random valid configuration documents for property tests.
 */
import fc from "fast-check";
import type { ConfigDocument, Profile } from "../../src/protocol/config/ConfigDocument.ts";

const MIB = 1024 * 1024;
const name = fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,8}$/);

const heat = fc.uniqueArray(fc.integer({ min: 0, max: 10 }), { maxLength: 4 }).chain((levels) =>
  fc.tuple(
    ...levels
      .toSorted((a, b) => a - b)
      .map((level) =>
        fc.record({
          level: fc.constant(level),
          startTasks: fc.boolean(),
          throttlePercent: fc.integer({ min: 0, max: 100 }),
          evict: fc.boolean(),
        }),
      ),
  ),
);

/** Arbitrary of valid profiles. */
export const arbitraryProfile: fc.Arbitrary<Profile> = fc.record({
  headroomProcessorsMilli: fc.integer({ min: 0, max: 64_000 }),
  headroomMemoryBytes: fc.integer({ min: 0, max: 4096 }).map((mib) => mib * MIB),
  latencyObjectiveMs: fc.integer({ min: 1, max: 1000 }),
  toleratedDisturbancePercent: fc.integer({ min: 0, max: 100 }),
  yieldOrder: fc.uniqueArray(fc.constantFrom("throttle", "checkpoint", "evict"), { maxLength: 3 }),
  throttleFloorPercent: fc.integer({ min: 0, max: 100 }),
  maxEvictionsPerMinute: fc.integer({ min: 0, max: 10 }),
  heat,
});

/** Arbitrary of documents in which every assignment refers to an existing profile. */
export const arbitraryDocument: fc.Arbitrary<ConfigDocument> = fc
  .record({
    profiles: fc.dictionary(name, arbitraryProfile, { noNullPrototype: true, maxKeys: 4 }),
    services: fc.uniqueArray(name, { maxLength: 4 }),
    quotas: fc.dictionary(
      name,
      fc.record({
        processorsMilli: fc.integer({ min: 0, max: 64_000 }),
        memoryBytes: fc.integer({ min: 0, max: 4096 }).map((mib) => mib * MIB),
        accelerators: fc.integer({ min: 0, max: 8 }),
        weight: fc.integer({ min: 1, max: 10 }),
      }),
      { noNullPrototype: true, maxKeys: 3 },
    ),
    classes: fc.dictionary(
      name,
      fc.record({
        queueLimit: fc.integer({ min: 0, max: 100 }),
        priority: fc.integer({ min: 0, max: 100 }),
      }),
      { noNullPrototype: true, maxKeys: 3 },
    ),
    heatLevels: fc.dictionary(name, fc.integer({ min: 0, max: 10 }), {
      noNullPrototype: true,
      maxKeys: 3,
    }),
  })
  .map(({ services, ...rest }) => {
    const [profile] = Object.keys(rest.profiles);
    const assigned = profile === undefined ? [] : services.map((service) => [service, profile]);
    return { ...rest, assignments: Object.fromEntries(assigned) as Record<string, string> };
  });
