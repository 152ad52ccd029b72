process.stdout.write('not built yet\n');
