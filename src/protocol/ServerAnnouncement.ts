/**
 * The announcement by which a backend server makes itself known to the agent of its VM. It is
 * repeated while the server lives; silence counts as the server's end.
 */
import { z } from "zod";
import { nameSchema } from "./config/ConfigDocument.ts";

const MAX_SLOTS = 10_000;

/** Schema of an announcement. */
export const serverAnnouncementSchema = z
  .object({
    service: nameSchema,
    id: nameSchema,
    /** Address on which the server takes requests, as host:port. */
    address: z.string().regex(/^[^/\s]+:\d{1,5}$/, "host:port"),
    /** Requests that the server runs at once. */
    slots: z.number().int().min(1).max(MAX_SLOTS),
    /** Connections that the server accepts at once. */
    connections: z.number().int().min(1).max(MAX_SLOTS),
    /** Requests that run at the server now, whoever sent them. */
    inUse: z.number().int().min(0),
    /** Whether the server is in graceful shutdown and takes no new work. */
    draining: z.boolean(),
    /** Processors that the server asks for, in thousandths of a core. */
    processorsMilli: z.number().int().min(0).default(0),
    /** Memory that the server asks for, in bytes. */
    memoryBytes: z.number().int().min(0).default(0),
  })
  .readonly();

export type ServerAnnouncement = z.infer<typeof serverAnnouncementSchema>;
