// Shifts the wall clock of one process. Loaded with LD_PRELOAD, the library overwrites the clock functions of the
// process's vDSO with jumps to the functions below. They add the offset in the control file, in nanoseconds, to the
// real-time clocks; the monotonic clocks are unaffected. Nothing outside the process changes.
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset_ns; // the mapped control file

// What differs between the kinds of machine: the names of the vDSO's functions, the system call and the jump.
#if defined(__x86_64__)

#define CLOCK_GETTIME_NAME "__vdso_clock_gettime"
#define GETTIMEOFDAY_NAME "__vdso_gettimeofday"
#define TIME_NAME "__vdso_time"

// real_clock_gettime reads a clock with the system call, which the patches below do not affect.
static long real_clock_gettime(long id, struct timespec *ts) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "0"(SYS_clock_gettime), "D"(id), "S"(ts) : "rcx", "r11", "memory");
	return result;
}

// write_jump overwrites the beginning of a function with "mov rax, target; jmp rax".
static void write_jump(unsigned char *at, void *target) {
	uint64_t address = (uint64_t)target;
	at[0] = 0x48;
	at[1] = 0xb8;
	memcpy(at + 2, &address, 8);
	at[10] = 0xff;
	at[11] = 0xe0;
}

#elif defined(__aarch64__)

#define CLOCK_GETTIME_NAME "__kernel_clock_gettime"
#define GETTIMEOFDAY_NAME "__kernel_gettimeofday"
#define TIME_NAME "" // the vDSO of arm64 has no such function

// real_clock_gettime reads a clock with the system call, which the patches below do not affect.
static long real_clock_gettime(long id, struct timespec *ts) {
	register long number __asm__("x8") = SYS_clock_gettime;
	register long result __asm__("x0") = id;
	register struct timespec *second __asm__("x1") = ts;
	__asm__ volatile("svc 0" : "+r"(result) : "r"(number), "r"(second) : "memory", "cc");
	return result;
}

// write_jump overwrites the beginning of a function with "ldr x16, #8; br x16" and the target's address behind it.
static void write_jump(unsigned char *at, void *target) {
	static const uint32_t instructions[] = {0x58000050, 0xd61f0200};
	uint64_t address = (uint64_t)target;
	memcpy(at, instructions, sizeof instructions);
	memcpy(at + sizeof instructions, &address, sizeof address);
	__builtin___clear_cache((char *)at, (char *)at + sizeof instructions + sizeof address);
}

#else
#error "the shim writes instructions of x86-64 and arm64"
#endif

// shifted_clock_gettime replaces clock_gettime.
static int shifted_clock_gettime(clockid_t id, struct timespec *ts) {
	long result = real_clock_gettime(id, ts);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t ns = ts->tv_sec * 1000000000LL + ts->tv_nsec + *offset_ns;
		ts->tv_sec = ns / 1000000000LL;
		ts->tv_nsec = ns % 1000000000LL;
	}
	return result;
}

// shifted_gettimeofday replaces gettimeofday.
static int shifted_gettimeofday(struct timeval *tv, void *zone) {
	struct timespec ts;
	(void)zone;
	shifted_clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

// shifted_time replaces time.
static time_t shifted_time(time_t *t) {
	struct timespec ts;
	shifted_clock_gettime(CLOCK_REALTIME, &ts);
	if (t) *t = ts.tv_sec;
	return ts.tv_sec;
}

// fail writes an error message and ends the process.
static void fail(const char *what) {
	ssize_t ignored = write(2, what, strlen(what));
	(void)ignored;
	_exit(97);
}

// patch redirects the vDSO function of the given name if it reads a clock. It returns 1 for clock_gettime, which the program's
// wall clock depends on, and else 0.
static int patch(unsigned char *vdso, const char *name, Elf64_Sym *symbol) {
	static const struct { const char *name; void *target; } functions[] = {
		{CLOCK_GETTIME_NAME, shifted_clock_gettime},
		{GETTIMEOFDAY_NAME, shifted_gettimeofday},
		{TIME_NAME, shifted_time},
	};
	if (!*name) return 0;
	for (size_t i = 0; i < sizeof functions / sizeof *functions; i++)
		if (!strcmp(name, functions[i].name)) write_jump(vdso + symbol->st_value, functions[i].target);
	return !strcmp(name, CLOCK_GETTIME_NAME);
}

// start runs when the library is loaded. It maps the control file and patches the clock functions of the vDSO.
__attribute__((constructor)) static void start(void) {
	const char *path = getenv("WALL_CLOCK_SHIFT");
	if (!path) return;
	int fd = open(path, O_RDONLY);
	if (fd < 0) fail("wall clock shim: no control file\n");
	offset_ns = mmap(0, sizeof *offset_ns, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (offset_ns == MAP_FAILED) fail("wall clock shim: the control file can't be mapped\n");

	unsigned char *vdso = (unsigned char *)getauxval(AT_SYSINFO_EHDR);
	if (!vdso) fail("wall clock shim: no vDSO\n");
	Elf64_Ehdr *header = (Elf64_Ehdr *)vdso;
	Elf64_Phdr *segments = (Elf64_Phdr *)(vdso + header->e_phoff);
	Elf64_Dyn *dynamic = 0;
	uint64_t size = 0;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segments[i].p_type == PT_DYNAMIC) dynamic = (Elf64_Dyn *)(vdso + segments[i].p_offset);
		if (segments[i].p_type == PT_LOAD) size = segments[i].p_offset + segments[i].p_memsz;
	}
	Elf64_Sym *symbols = 0;
	const char *names = 0;
	for (Elf64_Dyn *d = dynamic; d && d->d_tag != DT_NULL; d++) {
		if (d->d_tag == DT_SYMTAB) symbols = (Elf64_Sym *)(vdso + d->d_un.d_ptr);
		if (d->d_tag == DT_STRTAB) names = (const char *)(vdso + d->d_un.d_ptr);
	}
	if (!symbols || !names || !size) fail("wall clock shim: the vDSO can't be read\n");
	if (mprotect(vdso, size, PROT_READ | PROT_WRITE | PROT_EXEC)) fail("wall clock shim: the vDSO can't be written\n");
	// The symbol table ends where the string table begins.
	int patched = 0;
	for (Elf64_Sym *s = symbols; (const char *)s < names; s++) patched += patch(vdso, names + s->st_name, s);
	if (!patched) fail("wall clock shim: the vDSO has no " CLOCK_GETTIME_NAME "\n");
	mprotect(vdso, size, PROT_READ | PROT_EXEC);
}
