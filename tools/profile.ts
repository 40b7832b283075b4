/** Reads a processor profile of the runtime, as a table of functions. */
import * as z from 'zod';

const profileSchema = z.object({
  nodes: z.array(
    z.object({
      id: z.number(),
      children: z.array(z.number()).optional(),
      callFrame: z.object({
        functionName: z.string(),
        url: z.string(),
        lineNumber: z.number(),
      }),
    }),
  ),
  samples: z.array(z.number()),
  timeDeltas: z.array(z.number()),
});
type Profile = z.infer<typeof profileSchema>;

const ROWS = 40;

/** The functions that take most time, by themselves and with what they call. */
export function profileTable(text: string): string {
  const profile = profileSchema.parse(JSON.parse(text));
  const {alone, within} = times(profile);
  return [
    'milliseconds by itself',
    ...rowsOf(alone),
    'milliseconds with what it calls',
    ...rowsOf(within),
  ].join('\n');
}

function times({nodes, samples, timeDeltas}: Profile) {
  const byId = new Map(nodes.map(node => [node.id, node]));
  const parents = new Map(
    nodes.flatMap(({id, children = []}) =>
      children.map(child => [child, id] as const),
    ),
  );
  const nameOf = (id: number) => {
    const frame = byId.get(id)?.callFrame;
    const file = frame?.url.split('/').pop() ?? '';
    return `${frame?.functionName || 'anonymous'} ${file}:${frame?.lineNumber}`;
  };
  const alone = new Map<string, number>();
  const within = new Map<string, number>();
  for (const [index, sample] of samples.entries()) {
    const time = timeDeltas[index] ?? 0;
    add(alone, nameOf(sample), time);
    const seen = new Set<string>();
    for (let id: number | undefined = sample; id; id = parents.get(id)) {
      seen.add(nameOf(id));
    }
    for (const name of seen) add(within, name, time);
  }
  return {alone, within};
}

function add(sums: Map<string, number>, name: string, time: number): void {
  sums.set(name, (sums.get(name) ?? 0) + time);
}

function rowsOf(sums: ReadonlyMap<string, number>): string[] {
  const rows = [...sums].sort(([, one], [, other]) => other - one);
  return rows
    .slice(0, ROWS)
    .map(([name, time]) => `${(time / 1_000).toFixed(1).padStart(9)}  ${name}`);
}
