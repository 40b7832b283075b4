/**
 * Loaded before a program: it throws an error that nothing catches as soon as the
 * program looks for its settings file.
 */
const values = process.env;
const VARIABLE = 'ARBUTUSSLIP_BOOT';
let isThrown = false;
Object.defineProperty(process, 'env', {
  value: new Proxy(values, {
    get(target, name) {
      if (name === VARIABLE && !isThrown) {
        isThrown = true;
        void Promise.resolve().then(() => {
          throw new Error('thrown by a test');
        });
      }
      return target[name];
    },
  }),
});
