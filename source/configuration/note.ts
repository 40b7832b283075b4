/**
 * A release note is the one way to change a configuration. It has an id, by
 * which a second copy is known, and names the revision of each object that it
 * changes or withdraws, by which a race between two operators is settled.
 */
import * as z from 'zod';

import {
  classSchema,
  endpointSchema,
  keySchema,
  routeSchema,
  teamSchema,
  zoneSchema,
} from './objects.js';

const revisionSchema = z
  .number()
  .int()
  .positive()
  .describe('The revision that the note follows.');

function changed<Schema extends z.ZodType>(object: Schema) {
  return z
    .array(z.strictObject({revision: revisionSchema, object}))
    .default([]);
}

const withdrawnSchema = z
  .array(z.strictObject({name: z.string().min(1), revision: revisionSchema}))
  .default([]);

export const releaseNoteSchema = z.strictObject({
  id: z
    .string()
    .regex(/^[\w.:-]{1,128}$/)
    .describe('Unique; a second note with the same id is passed over.'),
  added: z
    .strictObject({
      zones: z.array(zoneSchema).default([]),
      teams: z.array(teamSchema).default([]),
      keys: z.array(keySchema).default([]),
      classes: z.array(classSchema).default([]),
      routes: z.array(routeSchema).default([]),
      endpoints: z.array(endpointSchema).default([]),
    })
    .prefault({}),
  changed: z
    .strictObject({
      zones: changed(zoneSchema),
      teams: changed(teamSchema),
      keys: changed(keySchema),
      classes: changed(classSchema),
      routes: changed(routeSchema),
      endpoints: changed(endpointSchema),
    })
    .prefault({}),
  withdrawn: z
    .strictObject({
      zones: withdrawnSchema,
      teams: withdrawnSchema,
      keys: withdrawnSchema,
      classes: withdrawnSchema,
      routes: withdrawnSchema,
      endpoints: withdrawnSchema,
    })
    .prefault({}),
});
export type ReleaseNote = z.infer<typeof releaseNoteSchema>;
