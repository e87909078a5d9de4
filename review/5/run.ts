/**
 * Heartbeats of another writer, whose bytes cannot be read, reach the agents.
 */
import { sleep, until, type SideNode } from "../support/Deployment.ts";
import { runCase } from "../support/runCase.ts";
import { sendJson } from "../support/sendJson.ts";

/** Path of an id of which the second byte of a letter is missing, and of one that can be read. */
const UNREADABLE_PATH = "/v1/instances/i-61d0be%E2%82";
const READABLE_PATH = "/v1/instances/i-61d0be44";
const ROUNDS = 3;
/** Short delay after which the platform starts a process again that has ended. */
const RESTART_MS = 500;
const CONTACT_MS = 3_000;

runCase(
  {
    ...{ entries: 2, workers: 3, cpu: 16_000, memMb: 64_000 },
    getNeeds: () => ({ cpu: 1_800, memMb: 3_200, workMs: 4_000 }),
  },
  async ({ deployment, record, hasTrouble }) => {
    const { entries, sides } = deployment;
    const path = hasTrouble ? UNREADABLE_PATH : READABLE_PATH;
    for (let round = 1; round <= ROUNDS; round += 1) {
      await Promise.all(
        sides.map(async ({ announcements, program }) => {
          const { status } = await sendJson("PUT", announcements, path, {});
          record.add("platform", `PUT ${path} {} at ${program.name} -> ${status}`);
        }),
      );
      await sleep(RESTART_MS);
      sides
        .filter(({ program }) => !program.isRunning)
        .forEach(({ program }) => {
          record.add("platform", `starts ${program.name}`);
          program.start();
        });
      await sleep(CONTACT_MS);
    }
    await until("all programs run", CONTACT_MS, () =>
      sides.every(({ program }) => program.isRunning),
    );
    const machines = entries.length + sides.length;
    const ended = sides.filter(hasEndedOften);
    const limit = Math.max(2, machines / 10);
    return ended.length < limit
      ? ""
      : `fault: on ${ended.length} of ${machines} machines processes ended by themselves three times`;
  },
);

function hasEndedOften({ program }: SideNode): boolean {
  return program.ownEnds >= ROUNDS;
}
