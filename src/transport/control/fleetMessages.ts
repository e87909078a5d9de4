/**
 * Converts between fleet records and control messages.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  VmDigestSchema,
  type BackendServer,
  type BackendServerSchema,
  type HeartbeatRequest,
  type Resources as ResourcesMessage,
  type VmDigest,
} from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import { NO_RESOURCES, type Resources } from "../../protocol/Resources.ts";
import type { ServerRecord, VmRecord } from "../../state/FleetView.ts";

/**
 * Reads resources from a message.
 * @param message - The message; an absent one means no resources.
 */
export function readResources(message: ResourcesMessage | undefined): Resources {
  if (message === undefined) {
    return NO_RESOURCES;
  }
  const { processorsMilli, memoryBytes, accelerators } = message;
  return { processorsMilli, memoryBytes, accelerators };
}

/**
 * Reads a backend server from a message.
 * @param message - The message.
 */
export function readServer(message: BackendServer): ServerRecord {
  return {
    service: message.service,
    id: message.id,
    slots: message.slots,
    slotsInUse: message.slotsInUse,
    queued: message.queued,
    draining: message.draining,
    p50Us: message.p50Us,
    p99Us: message.p99Us,
    requests: message.requests,
    failures: message.failures,
  };
}

/**
 * Reads a VM from a heartbeat or a digest.
 * @param message - The message.
 * @param reportedAt - When the agent reported, on this process's clock, in milliseconds.
 */
export function readVm(message: HeartbeatRequest | VmDigest, reportedAt: number): VmRecord {
  return {
    agent: message.agent,
    incarnation: message.incarnation,
    sequence: Number(message.sequence),
    region: message.region,
    zone: message.zone,
    rack: message.rack,
    requestAddress: message.requestAddress,
    controlAddress: message.controlAddress,
    capacity: readResources(message.capacity),
    committed: readResources(message.committed),
    used: readResources(message.used),
    servers: message.servers.map(readServer),
    draining: message.draining,
    configRevision: Number(message.configRevision),
    tasks: message.tasks,
    heatLevel: message.heatLevel,
    ...(message.startHold === "" ? {} : { startHold: message.startHold }),
    urgentMayStart: message.urgentMayStart,
    reportedAt,
  };
}

/**
 * Writes a VM into a digest.
 * @param vm - The VM.
 * @param now - Time on this process's clock, in milliseconds.
 */
export function writeVm(vm: VmRecord, now: number): VmDigest {
  return create(VmDigestSchema, {
    agent: vm.agent,
    incarnation: vm.incarnation,
    sequence: BigInt(vm.sequence),
    region: vm.region,
    zone: vm.zone,
    rack: vm.rack,
    requestAddress: vm.requestAddress,
    controlAddress: vm.controlAddress,
    capacity: { ...vm.capacity },
    committed: { ...vm.committed },
    used: { ...vm.used },
    servers: vm.servers.map(writeServer),
    draining: vm.draining,
    configRevision: BigInt(vm.configRevision),
    tasks: vm.tasks,
    ageMs: Math.max(0, Math.round(now - vm.reportedAt)),
    startHold: vm.startHold ?? "",
    urgentMayStart: vm.urgentMayStart ?? false,
    ...(vm.heatLevel === undefined ? {} : { heatLevel: vm.heatLevel }),
  });
}

/**
 * Writes a backend server into a message.
 * @param server - The server.
 */
export function writeServer(server: ServerRecord): MessageInitShape<typeof BackendServerSchema> {
  return { ...server };
}
