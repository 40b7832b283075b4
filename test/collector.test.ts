/** Bytes that come in pieces: what they become, and what memory they take. */
import test from 'ava';
import fc from 'fast-check';

import {ByteCollector} from '../source/wire/index.js';

test('bytes come out as they went in, however they are cut', t => {
  const pieces = fc.array(fc.uint8Array({maxLength: 3_000}), {maxLength: 60});
  fc.assert(
    fc.property(pieces, parts => {
      const collector = new ByteCollector();
      for (const part of parts) collector.push(Buffer.from(part));
      const all = Buffer.concat(parts);
      t.is(collector.length, all.length);
      t.true(collector.take().equals(all));
      t.is(collector.length, 0);
      t.is(collector.heldBytes, 0);
    }),
    {numRuns: 100},
  );
});

test('the memory of a body in pieces of one byte is in proportion to its bytes', t => {
  const collector = new ByteCollector();
  const piece = Buffer.from('x');
  for (let bytes = 1; bytes <= 300_000; bytes++) {
    collector.push(piece);
    t.true(collector.heldBytes <= 1_024 + 2 * bytes);
  }
  t.true(collector.heldBytes <= 300_000 + 65_536);
});

test('bytes stay as they were when the memory that they were read into is used again', t => {
  const collector = new ByteCollector();
  const read = Buffer.from('first');
  collector.push(read);
  read.write('other');
  t.is(collector.take().toString(), 'first');
});
