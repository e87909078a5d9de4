/**
 * The command `status`.
 */
import { ReadCommand } from "./ReadCommand.ts";

/** Shows the state of the fleet. */
export class StatusCommand extends ReadCommand {
  override readonly words = "status";
  override readonly summary = "Show the fleet: VMs, backend servers, configuration, batch work";

  protected override getPath(): string {
    return "/v1/status";
  }
}
