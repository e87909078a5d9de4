/**
 * Listings of the sections of the configuration.
 */
import type { ConfigListing } from "./ConfigListCommand.ts";
import { MILLI_PER_CORE } from "./numberFlags.ts";

/** The command `profile list`. */
export const PROFILE_LISTING: ConfigListing = {
  words: "profile list",
  summary: "List the profiles with the services that use them",
  select: (document) =>
    Object.entries(document.profiles).map(([name, profile]) => ({
      profile: name,
      objectiveMs: profile.latencyObjectiveMs,
      headroomCores: profile.headroomProcessorsMilli / MILLI_PER_CORE,
      disturbancePercent: profile.toleratedDisturbancePercent,
      yieldOrder: profile.yieldOrder,
      services: Object.entries(document.assignments)
        .filter(([, assigned]) => assigned === name)
        .map(([service]) => service),
    })),
};

/** The command `assignment list`. */
export const ASSIGNMENT_LISTING: ConfigListing = {
  words: "assignment list",
  summary: "List the services with their profiles",
  select: (document) =>
    Object.entries(document.assignments).map(([service, profile]) => ({ service, profile })),
};

/** The command `quota list`. */
export const QUOTA_LISTING: ConfigListing = {
  words: "quota list",
  summary: "List the quotas of tenants",
  select: (document) =>
    Object.entries(document.quotas).map(([tenant, quota]) => ({ tenant, ...quota })),
};
