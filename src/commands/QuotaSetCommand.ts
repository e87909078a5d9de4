/**
 * The command `quota set`.
 */
import { Result, type ResultAsync } from "neverthrow";
import type { Quota } from "../protocol/config/ConfigDocument.ts";
import { API_FLAGS } from "./ApiClient.ts";
import { CHANGE_FLAGS, sendChange } from "./configChanges.ts";
import { Command, type CommandFailure, type CommandInput, type CommandOutput } from "./Command.ts";
import { BYTES_PER_MIB, MILLI_PER_CORE, readNumberFlag } from "./numberFlags.ts";

/** Sets the quota of a tenant. */
export class QuotaSetCommand extends Command {
  override readonly words = "quota set";
  override readonly usage = "TENANT --processors CORES --memory-mib MIB [--accelerators N]";
  override readonly summary = "Set the maximum that a tenant's running batch tasks may use";
  override readonly argCount = [1, 1] as const;
  override readonly flags = {
    processors: { type: "string", value: "CORES", help: "Processors, in cores" },
    memoryMib: { type: "string", value: "MIB", help: "Memory, in MiB" },
    accelerators: { type: "string", value: "N", help: "Accelerators; default: 0" },
    weight: { type: "string", value: "W", help: "Weight in fair sharing; default: 1" },
    ...CHANGE_FLAGS,
    ...API_FLAGS,
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [tenant = ""] = input.args;
    return readQuota(input).asyncAndThen((quota) =>
      sendChange(input, { operations: [{ kind: "set-quota", tenant, quota }] }),
    );
  }
}

function readQuota(input: CommandInput): Result<Quota, CommandFailure> {
  const numbers = Result.combine([
    readNumberFlag(input, "processors"),
    readNumberFlag(input, "memoryMib"),
    readNumberFlag(input, "accelerators", 0),
    readNumberFlag(input, "weight", 1),
  ]);
  return numbers.map(([cores, mib, accelerators, weight]) => ({
    processorsMilli: Math.round(cores * MILLI_PER_CORE),
    memoryBytes: Math.round(mib * BYTES_PER_MIB),
    accelerators,
    weight,
  }));
}
