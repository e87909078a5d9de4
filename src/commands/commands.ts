/**
 * The list of all commands, in the order in which the help shows them.
 */
import { AgentCommand } from "./AgentCommand.ts";
import { AssignmentSetCommand } from "./AssignmentSetCommand.ts";
import { ChangeSettleCommand } from "./ChangeSettleCommand.ts";
import { ChangeStatusCommand } from "./ChangeStatusCommand.ts";
import type { Command } from "./Command.ts";
import { ConfigCheckCommand } from "./ConfigCheckCommand.ts";
import { ASSIGNMENT_LISTING, PROFILE_LISTING, QUOTA_LISTING } from "./configListings.ts";
import { ConfigListCommand } from "./ConfigListCommand.ts";
import { CoverageCommand } from "./CoverageCommand.ts";
import { EntryCommand } from "./EntryCommand.ts";
import { ExplainCommand } from "./ExplainCommand.ts";
import { HeatSetCommand } from "./HeatSetCommand.ts";
import { JobCancelCommand } from "./JobCancelCommand.ts";
import { JobListCommand } from "./JobListCommand.ts";
import { JobStatusCommand } from "./JobStatusCommand.ts";
import { JobSubmitCommand } from "./JobSubmitCommand.ts";
import { ProfileApplyCommand } from "./ProfileApplyCommand.ts";
import { ProfileDiffCommand } from "./ProfileDiffCommand.ts";
import { ProfileHistoryCommand } from "./ProfileHistoryCommand.ts";
import { ProfileShowCommand } from "./ProfileShowCommand.ts";
import { QuotaSetCommand } from "./QuotaSetCommand.ts";
import { StatusCommand } from "./StatusCommand.ts";
import { VersionCommand } from "./VersionCommand.ts";

export const COMMANDS: readonly Command[] = [
  new EntryCommand(),
  new AgentCommand(),
  new ConfigCheckCommand(),
  new ConfigListCommand(PROFILE_LISTING),
  new ProfileShowCommand(),
  new ProfileApplyCommand(),
  new ProfileDiffCommand(),
  new ProfileHistoryCommand(),
  new ConfigListCommand(ASSIGNMENT_LISTING),
  new AssignmentSetCommand(),
  new ConfigListCommand(QUOTA_LISTING),
  new QuotaSetCommand(),
  new HeatSetCommand(),
  new ChangeStatusCommand(),
  new ChangeSettleCommand(),
  new CoverageCommand(),
  new JobSubmitCommand(),
  new JobStatusCommand(),
  new JobCancelCommand(),
  new JobListCommand(),
  new StatusCommand(),
  new ExplainCommand("request"),
  new ExplainCommand("job"),
  new ExplainCommand("vm"),
  new VersionCommand(),
];
