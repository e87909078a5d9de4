/**
 * Property tests of everything that reads what others write: any text, and sound values of which a
 * part is replaced or missing. A reader gives a value or an error; it throws nothing.
 */
import { fromBinary, type DescMessage, type MessageShape } from "@bufbuild/protobuf";
import { ConnectError } from "@connectrpc/connect";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { readAnnouncement } from "../../platform/announcement.ts";
import { ManifestDecoder } from "../../platform/manifest.ts";
import { readSubmission } from "../../platform/submission.ts";
import {
  ObserveReplySchema,
  ObserveRequestSchema,
  OrderReplySchema,
  OrderRequestSchema,
} from "../../src/protocol/generated/fireflylb/v1/pool_pb.ts";
import { readPoolAgentSettings } from "../../src/protocol/settings/PoolAgentSettings.ts";
import { readPoolEntrySettings } from "../../src/protocol/settings/PoolEntrySettings.ts";
import { JobCatalog } from "../../src/state/pool/JobCatalog.ts";
import { formatJobKey } from "../../src/state/pool/PoolKeys.ts";
import { parseProgress } from "../../src/state/pool/progressValue.ts";
import {
  parseAgentRecord,
  parseInterferenceRecord,
  parseJobRecord,
  parseLeaseEndRecord,
  parseSchedulerRecord,
} from "../../src/state/pool/records.ts";
import {
  readObserveReply,
  readObserveRequest,
  readOrderReply,
  readOrderRequest,
} from "../../src/transport/pool/agentMessages.ts";
import { createJobId, createJobRecord, createStep, POOL } from "../support/poolFixtures.ts";
import { MANIFEST } from "./PlatformFixture.ts";

const SEED = Number(process.env.FIREFLYLB_SEED ?? 20_261_205);
const RUNS = 400;
/** Stands for a value that is nested deeply, which the generator itself could not handle. */
const DEEP = "(deep)";
const DEEP_TEXT = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;

/** Values that are unlike what any field holds. */
const ODD_VALUES = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<unknown>(
    ...[1e308, -1e308, 2 ** 53, 2 ** 32, -1, -0, 0.5, Number.MIN_VALUE, null, true, {}, []],
    ...["\ud800", "", "\u0000", "10.0.0.9:0", "10.0.0.9:65536", "x".repeat(5_000), "__proto__"],
  ),
  fc.constant(DEEP),
);

function toText(value: unknown): string {
  const text = JSON.stringify(value) as string | undefined;
  return (text ?? "").replaceAll(JSON.stringify(DEEP), DEEP_TEXT);
}

/** Sound values with one part replaced or removed, at any depth, or other texts. */
function createTexts(sound: unknown): fc.Arbitrary<string> {
  const paths = listPaths(sound);
  const changed = fc
    .tuple(fc.constantFrom(...paths), fc.option(ODD_VALUES, { nil: undefined }))
    .map(([path, value]) => toText(replace(sound, path, value)));
  return fc.oneof(
    { weight: 6, arbitrary: changed },
    { weight: 1, arbitrary: fc.string({ unit: "binary" }) },
    { weight: 1, arbitrary: ODD_VALUES.map(toText) },
  );
}

type Path = readonly string[];

function listPaths(value: unknown): readonly Path[] {
  if (typeof value !== "object" || value === null) {
    return [[]];
  }
  const inner = Object.entries(value).flatMap(([key, part]) =>
    listPaths(part).map((path): Path => [key, ...path]),
  );
  return [[], ...inner];
}

function replace(value: unknown, [key, ...rest]: Path, by: unknown): unknown {
  if (key === undefined) {
    return by;
  }
  const copy: Record<string, unknown> | unknown[] = Array.isArray(value)
    ? [...(value as unknown[])]
    : { ...(value as Record<string, unknown>) };
  Object.assign(copy, { [key]: replace((value as Record<string, unknown>)[key], rest, by) });
  return copy;
}

function check(t: ExecutionContext, arbitrary: fc.Arbitrary<string>, read: (text: string) => void) {
  t.log(`seed ${SEED}`);
  t.notThrows(() => {
    fc.assert(fc.property(arbitrary, read), { seed: SEED, numRuns: RUNS });
  });
}

function parseOrSkip(text: string, read: (value: unknown) => void): void {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return;
  }
  read(value);
}

const HEARTBEAT = {
  ...{ service: POOL, address: "10.0.0.9:8080", zone: "zone-a", version: "v1", slots: 8 },
  ...{ state: "draining", cold_remaining_ms: 0, labels: ["kind-a", "rack-1"], seq_no: 1 },
  ...{ born: 1_000, capacity: { cpu: 16_000, mem_mb: 1_024, gpu: 0 }, drain_remaining_ms: 5 },
};
const SUBMISSION = {
  spec: "text",
  steps: [
    { task_count: 4, cpu: 500, mem_mb: 256, estimate_ms: 900, affinity: "r1-3" },
    { task_count: 2, cpu: 1, after: [0], checkpointing: true, may_miss: 1, target_ms: 5 },
  ],
  ...{ run_count: 2, first_run_ms: 5, interval_ms: 1_000 },
};
const JOB = createJobRecord([createStep()], {
  schedule: { firstRunAtMs: 0, intervalMs: 1, runCount: 2 },
});
const PROGRESS = {
  phase: "running",
  done: { "0.0": [[1, 0, 7]] },
  runs: [["agent-a", "i-1@100", 3, "0.1", [0, 2]]],
  checkpoints: { "0.1.0": "c" },
  others: { "0.1.0": { run: 3, failures: 1 } },
};
const FORMER_PROGRESS = {
  phase: "running",
  tasks: {
    "0.0.0": {
      ...{ run: 3, done: false, failures: 1, checkpoint: "c", crashes: 1, crashedAfterMs: 5 },
      active: [{ run: 3, agent: "agent-a", worker: "i-1@100" }],
      givenUp: [{ run: 2, worker: "i-1@50" }],
    },
  },
};
const ENTRY_SETTINGS = `[entry]\nname = e\nzone = z\nsubmissions = 127.0.0.1:1\nreadiness = 127.0.0.1:2
[store]\naddress = 127.0.0.1:3\n[pool]\nmax_worker_lease_ms = 6000\n`;
const AGENT_SETTINGS = `[agent]\nname = a\nzone = z\npool = p\ncontrol = 127.0.0.1:1
announcements = 127.0.0.1:2\n[worker]\naddress = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n`;

// Guards against a value of another writer that ends the process which reads it.
test("readAnnouncement throws nothing whatever a heartbeat says", (t) => {
  check(t, createTexts(HEARTBEAT), (text) => {
    parseOrSkip(text, (value) => {
      readAnnouncement("i-1", value);
      readAnnouncement(text, HEARTBEAT);
    });
  });
  t.true(readAnnouncement("i-1", HEARTBEAT).isOk());
});

test("readSubmission throws nothing whatever a submission says", (t) => {
  check(t, createTexts(SUBMISSION), (text) => {
    parseOrSkip(text, (value) => {
      readSubmission(value);
    });
  });
  t.true(readSubmission(SUBMISSION).isOk());
});

test("ManifestDecoder throws nothing whatever a manifest says", (t) => {
  const decoder = new ManifestDecoder();
  check(t, createTexts(MANIFEST), (text) => {
    decoder.decode(text);
  });
  t.true(decoder.decode(JSON.stringify(MANIFEST)).isOk());
});

[
  { name: "parseJobRecord", parse: parseJobRecord, sound: JOB },
  { name: "parseProgress", parse: parseProgress, sound: PROGRESS },
  {
    name: "parseProgress of a former version",
    parse: parseProgress,
    sound: FORMER_PROGRESS,
  },
  {
    name: "parseSchedulerRecord",
    parse: parseSchedulerRecord,
    sound: { entry: "e", process: "p" },
  },
  {
    name: "parseAgentRecord",
    parse: parseAgentRecord,
    sound: { address: "10.0.0.1:7000", zone: "z", pool: POOL, process: "p" },
  },
  {
    name: "parseInterferenceRecord",
    parse: parseInterferenceRecord,
    sound: { pairs: [{ serving: "a", image: "b", mean: 1, variance: 1 }] },
  },
  { name: "parseLeaseEndRecord", parse: parseLeaseEndRecord, sound: { agents: { a: 5, b: 0 } } },
].forEach(({ name, parse, sound }) => {
  test(`${name} throws nothing whatever is stored`, (t) => {
    check(t, createTexts(sound), (text) => {
      parse(text);
    });
    t.true(parse(JSON.stringify(sound)).isOk());
  });
});

test("JobCatalog applies the sound entries of a list whatever the others are", (t) => {
  const odd = fc.tuple(
    fc.oneof(
      fc.string({ unit: "binary" }),
      fc
        .constantFrom<"job" | "cancel" | "progress">("job", "cancel", "progress")
        .map((kind) => formatJobKey({ kind, pool: POOL, job: createJobId(2) })),
    ),
    fc.oneof(createTexts(JOB), createTexts(PROGRESS), createTexts(FORMER_PROGRESS)),
  );
  t.log(`seed ${SEED}`);
  const property = fc.property(fc.array(odd, { maxLength: 5 }), (entries) => {
    const ignore = (): void => undefined;
    const catalog = new JobCatalog({
      ...{ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore },
    });
    const key = formatJobKey({ kind: "job", pool: POOL, job: createJobId(1) });
    const sound = { key, value: JSON.stringify(JOB), revision: 100 };
    catalog.apply([
      ...entries.map(([oddKey, value], position) => ({
        key: oddKey,
        value,
        revision: position + 1,
      })),
      sound,
    ]);
    return catalog.getJob(createJobId(1))?.record !== undefined;
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});

test("readPoolEntrySettings and readPoolAgentSettings throw nothing whatever a file says", (t) => {
  const texts = (sound: string): fc.Arbitrary<string> =>
    fc.oneof(
      fc.string({ unit: "binary" }),
      fc
        .tuple(fc.nat(sound.length), fc.nat(20), fc.string({ unit: "binary", maxLength: 20 }))
        .map(([at, length, text]) => sound.slice(0, at) + text + sound.slice(at + length)),
    );
  check(t, texts(ENTRY_SETTINGS), (text) => {
    readPoolEntrySettings("entry.ini", text);
  });
  check(t, texts(AGENT_SETTINGS), (text) => {
    readPoolAgentSettings("agent.ini", text);
  });
  t.true(readPoolEntrySettings("entry.ini", ENTRY_SETTINGS).isOk());
  t.true(readPoolAgentSettings("agent.ini", AGENT_SETTINGS).isOk());
});

/** Reads a message whose bytes can be decoded; an error of the call that has it is proper. */
function readMessage<S extends DescMessage>(
  schema: S,
  bytes: Uint8Array,
  read: (message: MessageShape<S>) => unknown,
): void {
  let message: MessageShape<S>;
  try {
    message = fromBinary(schema, bytes);
  } catch {
    return;
  }
  try {
    read(message);
  } catch (cause) {
    if (!(cause instanceof ConnectError)) {
      throw cause;
    }
  }
}

/** Bytes of messages, of which many can be decoded: fields with numbers and lengths that fit. */
const MESSAGE_BYTES = fc
  .array(
    fc.oneof(
      fc
        .tuple(fc.integer({ min: 1, max: 18 }), fc.uint8Array({ maxLength: 9 }))
        .map(([field, value]) =>
          [field * 8 + 2, value.length, ...value].filter((byte) => byte < 256),
        ),
      fc
        .tuple(fc.integer({ min: 1, max: 15 }), fc.nat(127))
        .map(([field, value]) => [...[field * 8, value]]),
      fc
        .tuple(fc.integer({ min: 1, max: 15 }), fc.uint8Array({ minLength: 8, maxLength: 8 }))
        .map(([field, value]) => [field * 8 + 1, ...value]),
    ),
    { maxLength: 8 },
  )
  .map((fields) => Uint8Array.from(fields.flat()));

test("agentMessages reject odd bytes with an error of the call", (t) => {
  t.log(`seed ${SEED}`);
  t.notThrows(() => {
    const property = fc.property(fc.oneof(MESSAGE_BYTES, fc.uint8Array()), (bytes) => {
      readMessage(ObserveRequestSchema, bytes, readObserveRequest);
      readMessage(ObserveReplySchema, bytes, readObserveReply);
      readMessage(OrderRequestSchema, bytes, readOrderRequest);
      readMessage(OrderReplySchema, bytes, readOrderReply);
    });
    fc.assert(property, { seed: SEED, numRuns: 10 * RUNS });
  });
});
