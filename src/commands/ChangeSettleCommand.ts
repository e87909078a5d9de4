/**
 * The command `change settle`.
 */
import { ChangeStatusCommand } from "./ChangeStatusCommand.ts";

/** Bars a change that has not taken effect from ever doing so, so that its outcome is known. */
export class ChangeSettleCommand extends ChangeStatusCommand {
  override readonly words = "change settle";
  override readonly summary = "Bar a change of unknown outcome unless it has taken effect";
  override readonly details = [
    "Repeating this is safe. Exit code 0 means that the change took effect, 4 that it did not",
    "and never will.",
  ];
  protected override readonly action = { method: "POST", suffix: "/settle" } as const;
}
