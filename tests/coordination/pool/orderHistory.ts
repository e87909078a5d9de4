/**
 * Plays plans of events against a small pool in virtual time, and shortens those that break a rule.
 */
import type { WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import type { Plan, PlannedEvent } from "./orderPlan.ts";
import { QUEUE, type SimulatedAgent, type SimulatedEntry } from "./simulatedPool.ts";
import type { SimulatedNetwork } from "./SimulatedNetwork.ts";

const REST_MS = 6_500;
const CORES_MILLI = 4_000;

/**
 * Plays a plan.
 * @param plan - The plan.
 */
export async function playPlan(plan: Plan): Promise<DelayedPoolSimulation> {
  const simulation = new DelayedPoolSimulation(plan.seed);
  const { network } = simulation;
  network.resetsConnections = plan.resetsConnections;
  network.keepsOrder = plan.keepsOrder;
  simulation.maxLeaseMs = 6_000;
  ["entry-0", "entry-1"].forEach((name) => simulation.addEntry(name));
  const names = ["agent-0", "agent-1", "agent-2"].slice(0, plan.agents);
  await Promise.all(names.map((name) => simulation.addAgent(name, CORES_MILLI)));
  for (const event of plan.events) {
    await simulation.clock.advance(Math.max(0, event.at - simulation.clock.now()));
    execute(simulation, network, event);
  }
  await simulation.clock.advance(REST_MS);
  return simulation;
}

/** Returns the live entry that schedules, or any live one. */
function getEntry(
  simulation: DelayedPoolSimulation,
  event: PlannedEvent,
): SimulatedEntry | undefined {
  const live = simulation.entries.filter(({ isStopped }) => !isStopped);
  const scheduling = live.find(({ coordinator }) => coordinator.schedulers.size > 0);
  return event.number % 3 === 0 ? live[event.entry % live.length] : (scheduling ?? live[0]);
}

function execute(
  simulation: DelayedPoolSimulation,
  network: SimulatedNetwork,
  event: PlannedEvent,
): void {
  const { clock } = simulation;
  const entry = getEntry(simulation, event);
  const agent = simulation.agents[event.agent % simulation.agents.length];
  if (entry === undefined || agent === undefined) {
    return;
  }
  const later = (action: () => void): void => {
    clock.after(event.ms, action);
  };
  const beat = (change: Partial<WorkerAnnouncement>): void => {
    const now = agent.worker.announce();
    simulation.sendHeartbeat(agent, { ...now, ...change });
  };
  const born = agent.worker.announce().startedAtMs;
  switch (event.kind) {
    case "submit": {
      const id = createJobId(Math.floor(event.at));
      const taskCount = 1 + (event.number % 5);
      const step = createStep({ taskCount, estimateMs: event.ms });
      const definition = { payload: "", steps: [step], schedule: undefined };
      simulation.setRequirements(id, definition, event.ms);
      void entry.submissions.submit(QUEUE, id, definition, clock.now() + 2_500);
      return;
    }
    case "killEntry":
      simulation.killEntry(entry);
      later(() => simulation.addEntry(entry.name));
      return;
    case "killBoth":
      simulation.killEntry(entry);
      later(() => simulation.addEntry(entry.name));
      restartAgent(simulation, agent, event.number);
      return;
    case "revoke": {
      const key = simulation.storeModel.list("scheduler/").entries[0];
      if (key !== undefined) {
        simulation.storeModel.remove(key.key, key.revision);
      }
      return;
    }
    case "resign":
      void entry.coordinator.handOver();
      later(() => simulation.addEntry(`${entry.name}r${event.at}`));
      return;
    case "freezeEntry":
      simulation.freezeEntry(entry.name, event.ms);
      return;
    case "cutStore":
      entry.store.startOutage();
      later(() => {
        if (!entry.isStopped) {
          entry.store.endOutage();
        }
      });
      return;
    case "cutEntry":
      entry.cutAgents.add(agent.name);
      later(() => entry.cutAgents.delete(agent.name));
      return;
    case "restartAgent":
      restartAgent(simulation, agent, event.number % 2 === 0 ? event.ms : event.number % 50);
      return;
    case "crashWorker":
      simulation.replaceWorkerBy(agent, { id: agent.worker.id, bornShiftMs: 0 });
      announceSoon(simulation, agent, event.ms);
      return;
    case "crashOther":
      simulation.replaceWorkerBy(agent, { id: `i-${event.at}-${event.number}`, bornShiftMs: 0 });
      announceSoon(simulation, agent, event.ms);
      return;
    case "crashBack": {
      const id = event.number % 2 === 0 ? agent.worker.id : `i-${event.at}-${event.number}`;
      simulation.replaceWorkerBy(agent, { id, bornShiftMs: -60_000 });
      announceSoon(simulation, agent, event.ms);
      return;
    }
    case "crashAgentAndWorker":
      simulation.replaceWorkerBy(agent, { id: agent.worker.id, bornShiftMs: 0 });
      restartAgent(simulation, agent, event.number % 100);
      announceSoon(simulation, agent, event.ms);
      return;
    case "drain": {
      const { worker } = agent;
      worker.drain();
      beat({});
      clock.after(2_000 + event.number, () => {
        if (agent.worker === worker) {
          simulation.replaceWorkerBy(agent, {
            id: `i-${event.at}-${event.number}`,
            bornShiftMs: 0,
          });
        }
      });
      return;
    }
    case "overlap":
      agent.worker.drain();
      beat({});
      later(() => {
        beat({ id: `i-${event.at}`, startedAtMs: born + 50, sequence: 1, draining: false });
      });
      return;
    case "repeatHeartbeat": {
      const old = agent.worker.announce();
      later(() => {
        simulation.sendHeartbeat(agent, old);
      });
      return;
    }
    case "otherLater":
      beat({
        id: "i-other",
        startedAtMs: born + 1 + event.number,
        pool: "pool-b",
        sequence: event.ms,
      });
      return;
    case "otherEarlier":
      beat({ id: "i-other", startedAtMs: born - 1 - event.number, sequence: event.ms });
      return;
    case "otherSame":
      beat({ id: "i-other", startedAtMs: born, sequence: event.number % 2 === 0 ? 1 : 1_000 });
      return;
    case "silent": {
      const { worker } = agent;
      worker.faults.isUnresponsive = true;
      later(() => {
        worker.faults.isUnresponsive = false;
      });
      return;
    }
    case "lateOrders":
      agent.worker.faults.lateOrders += 1 + (event.number % 3);
      agent.worker.faults.lateMs = event.ms;
      return;
    case "delay": {
      const party = event.messages.startsWith("store") ? entry.name : agent.name;
      const from = clock.now();
      const until = from + 20 + event.number;
      const minMs = event.number % 2 === 0 ? event.ms : 0;
      network.windows.push({
        ...{ kind: event.messages, party, from, until, minMs, maxMs: event.ms },
      });
    }
  }
}

function restartAgent(
  simulation: DelayedPoolSimulation,
  agent: SimulatedAgent,
  downMs: number,
): void {
  if (simulation.isDown(agent.name)) {
    return;
  }
  simulation.endAgent(agent);
  simulation.clock.after(downMs, () => {
    void simulation.startAgent(agent);
    // The worker's next heartbeat is up to a second away.
    simulation.clock.after((downMs * 7) % 300, () => {
      if (!agent.worker.isDead) {
        simulation.sendHeartbeat(agent, agent.worker.announce());
      }
    });
  });
}

function announceSoon(simulation: DelayedPoolSimulation, agent: SimulatedAgent, ms: number): void {
  const { worker } = agent;
  simulation.clock.after(ms % 400, () => {
    if (agent.worker === worker) {
      simulation.sendHeartbeat(agent, worker.announce());
    }
  });
}

/**
 * Shortens a plan while it still breaks a rule.
 * @param plan - The plan.
 * @param isBroken - Returns whether a simulation breaks the rule.
 */
export async function shortenPlan(
  plan: Plan,
  isBroken: (simulation: DelayedPoolSimulation) => boolean,
): Promise<Plan> {
  const candidates = [
    ...plan.events.map((event) => ({
      ...plan,
      events: plan.events.filter((other) => other !== event),
    })),
    ...(plan.agents > 1 ? [{ ...plan, agents: plan.agents - 1 }] : []),
    ...(plan.keepsOrder ? [] : [{ ...plan, keepsOrder: true }]),
    ...(plan.resetsConnections ? [] : [{ ...plan, resetsConnections: true }]),
  ];
  for (const candidate of candidates) {
    if (isBroken(await playPlan(candidate))) {
      return shortenPlan(candidate, isBroken);
    }
  }
  return plan;
}
