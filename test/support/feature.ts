/**
 * Runs the scenarios of a feature file. The language is Gherkin, read by its
 * own library; the steps are in steps/.
 */
import {readFileSync} from 'node:fs';

import test from 'ava';
import {
  CucumberExpression,
  ParameterTypeRegistry,
} from '@cucumber/cucumber-expressions';
import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from '@cucumber/gherkin';
import {IdGenerator, type Pickle} from '@cucumber/messages';

import {STEPS} from './steps/index.js';
import {ScenarioWorld} from './world.js';

const registry = new ParameterTypeRegistry();
const steps = STEPS.map(({text, run}) => ({
  expression: new CucumberExpression(text, registry),
  run,
}));

function pickles(name: string): readonly Pickle[] {
  const url = new URL(`../../scenarios/${name}.feature`, import.meta.url);
  const newId = IdGenerator.incrementing();
  const builder = new AstBuilder(newId);
  const parser = new Parser(builder, new GherkinClassicTokenMatcher());
  const document = parser.parse(readFileSync(url, 'utf8'));
  return compile(document, `${name}.feature`, newId);
}

async function runStep(world: ScenarioWorld, text: string): Promise<void> {
  for (const {expression, run} of steps) {
    const found = expression.match(text);
    if (!found) continue;
    await run(
      world,
      ...found.map(argument => argument.getValue(world) as never),
    );
    return;
  }
  throw new Error(`no step is written like this: ${text}`);
}

/** Registers a test for each scenario of a feature. */
export function runFeature(name: string): void {
  for (const pickle of pickles(name)) {
    test.serial(pickle.name, async t => {
      const world = new ScenarioWorld();
      try {
        for (const {text} of pickle.steps) {
          t.log(text);
          await runStep(world, text);
        }
        t.pass();
      } finally {
        world.stop();
      }
    });
  }
}
