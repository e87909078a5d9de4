/**
 * Limits the starts of a scheduling cycle to what the entry's link to the agents can carry. All
 * calls to agents share the link, and each has a fixed timeout: with too many orders on the way at
 * once, all of them time out, are sent again from nothing, and none ever arrives. Tasks beyond the
 * limit wait for a later cycle, which places them by their rank then.
 */
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { ActiveTaskRun } from "./ActiveRunTable.ts";
import type { PoolState } from "./PoolState.ts";
import type { PlannedRun } from "./taskPlacement.ts";

/**
 * Size of the start orders on the way from which no more runs are started, in bytes: what a link of
 * 7 Mbit/s carries in 200 ms, a fifth of the timeout of a call to an agent. A large call shares the
 * link with many small ones, so it takes several times as long.
 */
const MAX_UNCONFIRMED_BYTES = 175_000;
/** Size of a start order without its payload and checkpoint, in bytes. */
const ORDER_OVERHEAD_BYTES = 40;

/**
 * Returns those of the planned starts whose orders may be sent now, in their order. A gang is
 * started as a whole, and at least one task or gang if no order is on the way.
 * @param starts - Planned starts, in scheduling order.
 * @param state - State of the scheduler.
 */
export function limitStarts(
  starts: readonly PlannedRun[],
  state: PoolState,
): readonly PlannedRun[] {
  if (starts.length === 0) {
    return starts;
  }
  let bytes = getUnconfirmedBytes(state);
  let lastGang: PlannedRun | undefined;
  return starts.filter((start) => {
    const isAllowed = bytes < MAX_UNCONFIRMED_BYTES || isSameGang(start, lastGang);
    bytes += getOrderBytes(state, start.task);
    lastGang = isAllowed && start.task.definition.gang ? start : undefined;
    return isAllowed;
  });
}

/** Gets the size of the start orders that are about to be sent or have no result yet. */
function getUnconfirmedBytes(state: PoolState): number {
  return state.activeRuns
    .getAll()
    .filter(isUnconfirmed)
    .reduce((sum, { task }) => sum + getOrderBytes(state, task), 0);
}

/**
 * Returns whether the first order to start a run is on the way. Orders that had to be repeated do
 * not count, so that agents that cannot be reached hold up the starts on others only briefly.
 */
function isUnconfirmed({ active }: ActiveTaskRun): boolean {
  const { phase, callNumber, tries } = active;
  return phase === "recording" || (phase === "ordered" && callNumber === undefined && tries === 1);
}

function getOrderBytes(state: PoolState, task: TaskState): number {
  const payload = state.getJobOf(task)?.record.payload ?? "";
  return Buffer.byteLength(payload) + Buffer.byteLength(task.checkpoint) + ORDER_OVERHEAD_BYTES;
}

/** Returns whether a start belongs to the gang of another one. */
function isSameGang({ job, task }: PlannedRun, other: PlannedRun | undefined): boolean {
  return (
    other?.job === job &&
    other.task.address.step === task.address.step &&
    other.task.address.occurrence === task.address.occurrence
  );
}
