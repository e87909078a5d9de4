/**
 * Plans how far the batch tasks of a VM are throttled, so that the predicted latency increase stays
 * within each service's tolerance and the processors reserved as headroom stay free. Tasks that
 * cause the most disturbance per processor are throttled first, and among equals the newest.
 */
import type { DisturbanceEstimator } from "./DisturbanceEstimator.ts";
import { getHeatYield } from "./heatYield.ts";
import { getUtilisation, type YieldInput, type YieldTask } from "./YieldInput.ts";

/** Upper bound on a weighted sum over the tasks. */
interface Constraint {
  readonly budget: number;
  /** Returns the contribution of a task when it uses all of its processors. */
  readonly getLoad: (task: YieldTask) => number;
}

/** Planned share of its processors per task id, in percent. */
export type ThrottlePlan = ReadonlyMap<string, number>;

/**
 * Plans the throttling of the tasks on a VM.
 * @param input - State of the VM.
 * @param estimator - Estimator of the disturbance.
 * @param margin - Share of the tolerated disturbance that the plan may use, from 0 to 1.
 */
export function planThrottle(
  input: YieldInput,
  estimator: DisturbanceEstimator,
  margin: number,
): ThrottlePlan {
  const ceiling = getHeatYield(getProfiles(input), input.heat.level).throttlePercent;
  const floor = Math.min(ceiling, getThrottleFloor(input));
  const start: ThrottlePlan = new Map(input.tasks.map(({ task }) => [task, ceiling]));
  return getConstraints(input, estimator, margin).reduce(
    (plan, constraint) => throttleToBudget(plan, constraint, input.tasks, floor),
    start,
  );
}

/**
 * Returns the lowest share to which tasks on a VM may be throttled, in percent.
 * @param input - State of the VM.
 */
export function getThrottleFloor(input: YieldInput): number {
  return Math.max(0, ...getProfiles(input).map((profile) => profile.throttleFloorPercent));
}

/**
 * Returns the processors that the services of a VM leave to batch tasks, in thousandths of a core.
 * @param input - State of the VM.
 */
export function getBatchProcessorsMilli(input: YieldInput): number {
  const headroomMilli = getProfiles(input).reduce((sum, { headroomProcessorsMilli }) => {
    return sum + headroomProcessorsMilli;
  }, 0);
  return Math.max(0, input.capacityMilli - headroomMilli);
}

function getProfiles(input: YieldInput): readonly YieldInput["services"][number]["profile"][] {
  return input.services.map(({ profile }) => profile);
}

function getConstraints(
  input: YieldInput,
  estimator: DisturbanceEstimator,
  margin: number,
): readonly Constraint[] {
  const throttling = input.services.filter(({ profile }) =>
    profile.yieldOrder.includes("throttle"),
  );
  const disturbance = throttling.map((service): Constraint => {
    const utilisation = getUtilisation(service);
    return {
      budget: (service.profile.toleratedDisturbancePercent / 100) * margin,
      getLoad: ({ kind, processorsMilli }) => {
        const { rise } = estimator.getPairEstimate(service.service, kind, utilisation);
        return (rise * processorsMilli) / input.capacityMilli;
      },
    };
  });
  const headroom: Constraint = {
    budget: getBatchProcessorsMilli(input),
    getLoad: ({ processorsMilli }) => processorsMilli,
  };
  return [...disturbance, headroom];
}

function throttleToBudget(
  plan: ThrottlePlan,
  constraint: Constraint,
  tasks: readonly YieldTask[],
  floor: number,
): ThrottlePlan {
  const loads = tasks.map((task) => ({ task, load: constraint.getLoad(task) }));
  const mostDisturbingFirst = loads.toSorted(
    (a, b) =>
      b.load / b.task.processorsMilli - a.load / a.task.processorsMilli ||
      b.task.startedAt - a.task.startedAt,
  );
  const used = loads.reduce((sum, { task, load }) => sum + load * getShare(plan, task), 0);
  let excess = used - constraint.budget;
  const lowered = mostDisturbingFirst.map(({ task, load }) => {
    const percent = plan.get(task.task) ?? 0;
    const target = excess > 0 && load > 0 ? percent - (100 * excess) / load : percent;
    const next = Math.min(percent, Math.max(floor, target));
    excess -= ((percent - next) / 100) * load;
    return [task.task, next] as const;
  });
  return new Map(lowered);
}

function getShare(plan: ThrottlePlan, task: YieldTask): number {
  return (plan.get(task.task) ?? 0) / 100;
}
