/**
 * The configuration document: profiles, assignments, quotas, class limits and heat levels. The
 * whole document is stored under one key, so that its revisions are totally ordered.
 */
import { z } from "zod";

/** Names of profiles, services, tenants and zones. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "1 to 63 of a-z, 0-9, '.', '_' and '-'");

const percentSchema = z.number().int().min(0).max(100);

/** How batch work yields at one heat level. */
export const heatYieldSchema = z
  .object({
    /** Lowest heat level to which this applies; 0 is normal. */
    level: z.number().int().min(0).max(10),
    /** Whether new batch tasks may start. */
    startTasks: z.boolean(),
    /** Percentage of its processors that a batch task may use. */
    throttlePercent: percentSchema,
    /** Whether batch tasks are evicted. */
    evict: z.boolean(),
  })
  .readonly();

/** A profile: what a service requires of the VMs that it shares with batch work. */
export const profileSchema = z
  .object({
    /** Processors kept free for the service, in thousandths of a core. */
    headroomProcessorsMilli: z.number().int().min(0).max(1_000_000),
    /** Memory kept free for the service, in bytes. */
    headroomMemoryBytes: z.number().int().min(0),
    /** Objective for the 99th percentile of latency, in milliseconds. */
    latencyObjectiveMs: z.number().positive().max(600_000),
    /** Rise in latency caused by batch work that the service tolerates, in percent. */
    toleratedDisturbancePercent: z.number().min(0).max(1000),
    /** Steps with which batch work yields, in order. */
    yieldOrder: z
      .array(z.enum(["throttle", "checkpoint", "evict"]))
      .max(3)
      .readonly(),
    /** Lowest percentage of its processors to which a batch task is throttled. */
    throttleFloorPercent: percentSchema,
    /** Maximum number of evictions on one VM for this service per minute. */
    maxEvictionsPerMinute: z.number().int().min(0).max(1000),
    /** How batch work yields at each heat level, in ascending order of levels. */
    heat: z.array(heatYieldSchema).max(11).readonly(),
  })
  .strict()
  .readonly();

/** Limits of a class of requests. */
export const classLimitSchema = z
  .object({
    /** Maximum queue length at one agent, in requests. */
    queueLimit: z.number().int().min(0).max(10_000),
    /** Priority of the class in the queue; lower values are served first. */
    priority: z.number().int().min(0).max(100),
  })
  .strict()
  .readonly();

/** Quota of a tenant: the most that its running batch tasks may use in total. */
export const quotaSchema = z
  .object({
    processorsMilli: z.number().int().min(0),
    memoryBytes: z.number().int().min(0),
    accelerators: z.number().int().min(0),
    /** Weight in fair sharing. */
    weight: z.number().positive().max(1000),
  })
  .strict()
  .readonly();

/** The whole document. */
export const configDocumentSchema = z
  .object({
    profiles: z.record(nameSchema, profileSchema),
    /** Profile of each service. */
    assignments: z.record(nameSchema, nameSchema),
    quotas: z.record(nameSchema, quotaSchema),
    classes: z.record(nameSchema, classLimitSchema),
    /** Heat level of each zone; a zone without one is at level 0. */
    heatLevels: z.record(nameSchema, z.number().int().min(0).max(10)),
  })
  .strict()
  .readonly();

export type HeatYield = z.infer<typeof heatYieldSchema>;
export type Profile = z.infer<typeof profileSchema>;
export type ClassLimit = z.infer<typeof classLimitSchema>;
export type Quota = z.infer<typeof quotaSchema>;
export type ConfigDocument = z.infer<typeof configDocumentSchema>;

/** A document with its revision. */
export interface ConfigSnapshot {
  readonly revision: number;
  readonly document: ConfigDocument;
}

/** The initial document. */
export const EMPTY_DOCUMENT: ConfigDocument = {
  profiles: {},
  assignments: {},
  quotas: {},
  classes: {},
  heatLevels: {},
};
