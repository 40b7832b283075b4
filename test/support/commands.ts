/** Commands that act on a world and check it after each step. */
import fc from 'fast-check';

/** A world that can tell whether something is wrong. */
export interface Checked {
  check(): void;
}

/** A step of a fuzz test, shown by its text. */
export type Step<World> = fc.Command<object, World>;

/** A step that acts on a world, which is checked afterwards. */
export function step<World extends Checked>(
  text: string,
  run: (world: World) => void,
): Step<World> {
  return {
    check: () => true,
    run: (_, world) => {
      run(world);
      world.check();
    },
    toString: () => text,
  };
}

/** Lists of steps of any length up to a number. */
export function steps<World extends object>(
  kinds: Array<fc.Arbitrary<Step<World>>>,
  most: number,
): fc.Arbitrary<Iterable<Step<World>>> {
  return fc.commands(kinds, {maxCommands: most, size: 'max'});
}
